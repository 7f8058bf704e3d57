package org.wigeonwharf.gateway.overload;

import java.util.random.RandomGenerator;

/**
 * Chooses when refused callers should come back: not before there is room, spread over a time, and
 * the more urgent ones earlier.
 */
public final class RetryAfter {
  /**
   * Fraction of a caller's remaining time up to which it observes Retry-After: slightly less than a
   * third, for the way of the refusal.
   */
  private static final double MAX_FRACTION = 0.32;

  /** Minimum time in ms, so that a refused request does not come back to the same overload. */
  private static final double MIN_MILLIS = 50;

  /** Priority from which callers are spread over the whole time. */
  private static final int LAST_SPREAD_PRIORITY = 3;

  private final RandomGenerator random;

  /**
   * Creates an instance.
   *
   * @param random spreads the callers
   */
  public RetryAfter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Chooses the time after which a refused caller should come back.
   *
   * @param opensInMillis time in ms until a server is expected to have room
   * @param remainingMillis time in ms that remains to the caller
   * @param priority the request's priority; 0 is the highest
   * @return the time in ms, at most a third of what remains
   */
  public long millis(double opensInMillis, double remainingMillis, int priority) {
    double latest = Math.max(MIN_MILLIS, MAX_FRACTION * remainingMillis);
    double earliest = Math.min(Math.max(MIN_MILLIS, opensInMillis), latest / 2);
    double end = Math.min(latest, 2 * Math.max(earliest, opensInMillis));
    double part = Math.min(1, (priority + 1.0) / (LAST_SPREAD_PRIORITY + 1));
    return Math.round(earliest + random.nextDouble() * part * Math.max(0, end - earliest));
  }
}
