package org.wigeonwharf.gateway.http;

/** Decides which events of a stream may be passed on after those that its caller has. */
interface EventOrder {
  /** Permits events in any order. */
  EventOrder ANY = id -> true;

  /**
   * Records the next event, unless it must not be passed on.
   *
   * @param id the event's id
   * @return false if the caller has this event, or a later one
   */
  boolean accept(String id);
}
