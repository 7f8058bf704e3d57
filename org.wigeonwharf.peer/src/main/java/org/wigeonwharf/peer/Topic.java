package org.wigeonwharf.peer;

import org.jspecify.annotations.Nullable;

/** A Topic selects the slice that a peer message belongs to. */
public enum Topic {
  /** Heartbeats and live-set messages. */
  MEMBERSHIP(1),
  /** Configuration snapshots and requests for them. */
  CONFIG(2),
  /** Slot requests, leases and outcomes. */
  SCHEDULE(3),
  /** Forwarded keyed requests and key hand-over. */
  RELAY(4);

  private final int number;

  Topic(int number) {
    this.number = number;
  }

  /**
   * Returns the number used on the wire.
   *
   * @return a positive number that never changes
   */
  public int number() {
    return number;
  }

  /**
   * Finds a topic by its wire number.
   *
   * @param number the number received
   * @return the topic, or null if a newer peer uses one that is unknown here
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
