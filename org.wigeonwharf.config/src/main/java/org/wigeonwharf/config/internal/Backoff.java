package org.wigeonwharf.config.internal;

import java.util.Random;

/** Computes exponential retry delays with jitter, up to a maximum. Not thread-safe. */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 16;

  private final long firstMillis;
  private final long maxMillis;
  private final Random random;
  private int failures;

  /**
   * Creates a backoff with no failure recorded.
   *
   * @param firstMillis maximum delay after the first failure, in milliseconds
   * @param maxMillis maximum delay after any failure, in milliseconds
   * @param random draws jitter
   */
  public Backoff(long firstMillis, long maxMillis, Random random) {
    this.firstMillis = firstMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /**
   * Records a failure and computes the delay before the next attempt.
   *
   * <p>The upper bound of the delay doubles with each consecutive failure, up to the maximum.
   *
   * @return the delay in milliseconds, between half of the upper bound and the upper bound
   */
  public long recordFailure() {
    long bound = Math.min(maxMillis, firstMillis << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return bound - random.nextLong(bound / 2 + 1);
  }

  /** Records a success: the next failure counts as the first. */
  public void recordSuccess() {
    failures = 0;
  }
}
