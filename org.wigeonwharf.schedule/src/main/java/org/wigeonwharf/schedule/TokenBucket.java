package org.wigeonwharf.schedule;

import org.wigeonwharf.model.Clock;

/**
 * Limits a rate with a token bucket.
 *
 * <p>The level may become negative; refilling then makes up for the deficit first. In any period of
 * t seconds, the units taken minus those returned are at most {@code rate * t} plus the burst and
 * the largest single charge. Not thread-safe.
 */
final class TokenBucket {
  /** Burst size as a multiple of the rate, in seconds. */
  static final double BURST_SECONDS = 1;

  private double rate;
  private double level;
  private long updatedNanos;

  TokenBucket(double rate, long nowNanos) {
    this.rate = rate;
    this.level = burst(rate);
    this.updatedNanos = nowNanos;
  }

  private static double burst(double rate) {
    return rate <= 0 ? 0 : Math.max(1, rate * BURST_SECONDS);
  }

  /**
   * Changes the rate; the units by which a raised rate enlarges the burst are available at once.
   *
   * @param newRate units per second
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void setRate(double newRate, long nowNanos) {
    refill(nowNanos);
    double addedBurst = Math.max(0, burst(newRate) - burst(rate));
    rate = newRate;
    level = Math.min(burst(newRate), level + addedBurst);
  }

  private void refill(long nowNanos) {
    double seconds = (nowNanos - updatedNanos) / (double) Clock.NANOS_PER_SECOND;
    updatedNanos = nowNanos;
    level = Math.min(burst(rate), level + seconds * rate);
  }

  /**
   * Returns whether the level is at least a value.
   *
   * @param minLevel the value in units; may be negative
   * @param nowNanos the current monotonic time in nanoseconds
   * @return false if the level is below the value or the rate is 0
   */
  boolean hasAtLeast(double minLevel, long nowNanos) {
    refill(nowNanos);
    return rate > 0 && level >= minLevel;
  }

  /**
   * Takes units, or returns them if negative.
   *
   * @param units number of units
   */
  void take(double units) {
    level = Math.min(burst(rate), level - units);
  }

  double rate() {
    return rate;
  }
}
