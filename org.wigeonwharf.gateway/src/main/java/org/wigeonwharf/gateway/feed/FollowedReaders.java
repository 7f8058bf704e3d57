package org.wigeonwharf.gateway.feed;

import java.time.Duration;

/**
 * Decides whether a router may rely on the changes that the readers of its failure domain pass on.
 *
 * <p>It may while one of them is alive and in contact with the store. Not thread-safe.
 */
final class FollowedReaders {
  /** Maximum time since the last message of a reader: more than two heartbeats. */
  private static final Duration MAX_SILENCE = Duration.ofMillis(1_000);

  private final long maxContactAgeNanos;
  private boolean known;
  private long heardAt;
  private long contactAt;

  /**
   * Creates an instance that knows no reader.
   *
   * @param maxContactAge maximum time since the store last answered a reader that is in contact
   */
  FollowedReaders(Duration maxContactAge) {
    this.maxContactAgeNanos = maxContactAge.toNanos();
  }

  void record(ReaderState state, long now) {
    long at = now - state.contactAgeNanos();
    contactAt = known ? Math.max(contactAt, at) : at;
    heardAt = now;
    known = true;
  }

  boolean isCurrent(long now) {
    return known && now - heardAt <= MAX_SILENCE.toNanos() && now - contactAt <= maxContactAgeNanos;
  }

  /** Returns the time at which the store last answered a reader; meaningful while one is known. */
  long contactAt() {
    return contactAt;
  }
}
