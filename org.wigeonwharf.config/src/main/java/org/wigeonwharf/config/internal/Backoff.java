package org.wigeonwharf.config.internal;

import java.util.Random;

/** A Backoff doubles the delay after each failure in a row, up to a bound, with jitter. */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 16;

  private final long firstMillis;
  private final long maxMillis;
  private final Random random;
  private int failures;

  /**
   * Creates a backoff without failures.
   *
   * @param firstMillis longest delay after the first failure, in milliseconds
   * @param maxMillis longest delay after any failure, in milliseconds
   * @param random draws the jitter
   */
  public Backoff(long firstMillis, long maxMillis, Random random) {
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /**
   * Notes a failure.
   *
   * @return the delay before the next attempt, in milliseconds: from half the bound up to the bound
   */
  public long recordFailure() {
    long bound = Math.min(maxMillis, firstMillis << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return bound - random.nextLong(bound / 2 + 1);
  }

  /** Notes a success: the next failure counts as the first. */
  public void recordSuccess() {
    failures = 0;
  }
}
