package org.wigeonwharf.peer;

import org.jspecify.annotations.Nullable;

/** Identifies the component that handles a peer message. */
public enum Topic {
  /** Membership heartbeats. */
  MEMBERSHIP(1),
  /** Configuration snapshots and requests for snapshots. */
  CONFIG(2),
  /** Slot requests, leases and outcomes. */
  SCHEDULE(3),
  /** Forwarded requests with an idempotency key, and hand-over of keys. */
  RELAY(4);

  private final int number;

  Topic(int number) {
    this.number = number;
  }

  /**
   * Returns the topic's number on the wire.
   *
   * @return a positive number that never changes
   */
  public int number() {
    return number;
  }

  /**
   * Returns the topic with a wire number.
   *
   * @param number the received number
   * @return the topic, or null if it is unknown to this version, as when a newer peer sent it
   */
  public static @Nullable Topic fromNumber(int number) {
    for (Topic t : values()) {
      if (t.number == number) {
        return t;
      }
    }
    return null;
  }
}
