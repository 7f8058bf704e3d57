package org.wigeonwharf.schedule;

import org.wigeonwharf.model.Clock;

/**
 * A TokenBucket bounds a rate. It may go into debt, which later time pays off.
 *
 * <p>In any span of t seconds the units taken minus those given back exceed {@code rate * t} by at
 * most the burst and the largest single charge. Not thread-safe.
 */
final class TokenBucket {
  /** Time whose units may be taken at once, in seconds. */
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
   * Changes the rate; what a raised rate allows more at once may be taken at once.
   *
   * @param newRate units a second
   * @param nowNanos the time
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
   * Tells whether enough is there.
   *
   * @param minLevel the level asked for, in units
   * @param nowNanos the time
   * @return true if the level is not below
   */
  boolean hasAtLeast(double minLevel, long nowNanos) {
    refill(nowNanos);
    return rate > 0 && level >= minLevel;
  }

  /**
   * Takes units, or gives them back if negative.
   *
   * @param units the units
   */
  void take(double units) {
    level = Math.min(burst(rate), level - units);
  }

  double rate() {
    return rate;
  }
}
