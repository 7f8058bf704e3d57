package org.wigeonwharf.gateway.feed;

import java.time.Duration;

/**
 * Decides whether a router may rely on the changes that the readers of its failure domain pass on.
 *
 * <p>It may while one of them is alive, in contact with the store and in the store's era that the
 * router has read. Not thread-safe.
 */
final class FollowedReaders {
  /** Maximum time since the last message of a reader: more than two heartbeats. */
  private static final Duration MAX_SILENCE = Duration.ofMillis(1_000);

  private final long maxContactAgeNanos;
  private boolean known;
  private long heardAt;
  private long contactAt;
  private long era;

  /**
   * Creates an instance that knows no reader.
   *
   * @param maxContactAge maximum time since the store last answered a reader that is in contact
   */
  FollowedReaders(Duration maxContactAge) {
    this.maxContactAgeNanos = maxContactAge.toNanos();
  }

  void record(ReaderState state, long now) {
    if (known && state.era() < era) {
      return;
    }
    boolean sameEra = known && state.era() == era;
    long at = now - state.contactAgeNanos();
    contactAt = sameEra ? Math.max(contactAt, at) : at;
    heardAt = now;
    era = state.era();
    known = true;
  }

  /**
   * Returns whether a reader of an era can be followed.
   *
   * @param readEra the era that this router has read
   * @param now the current time in nanoseconds
   */
  boolean isCurrent(long readEra, long now) {
    return known
        && era == readEra
        && now - heardAt <= MAX_SILENCE.toNanos()
        && now - contactAt <= maxContactAgeNanos;
  }

  /** Returns the time at which the store last answered a reader; meaningful while one is known. */
  long contactAt() {
    return contactAt;
  }
}
