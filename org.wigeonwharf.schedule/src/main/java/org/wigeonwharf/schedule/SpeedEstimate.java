package org.wigeonwharf.schedule;

import org.wigeonwharf.model.Clock;

/**
 * A SpeedEstimate follows a server's first-token times, each against its class's mean, and its
 * token gaps, as moving means that weigh the newest most. Not thread-safe.
 */
final class SpeedEstimate {
  private static final double SMOOTHING = 0.4;

  private double firstTokenRatio = -1;
  private double gapMillis = -1;
  private long updatedNanos;

  void recordFirstToken(double ratio, long nowNanos) {
    firstTokenRatio = smooth(firstTokenRatio, ratio);
    updatedNanos = nowNanos;
  }

  void recordTokenGap(double millis, long nowNanos) {
    gapMillis = smooth(gapMillis, millis);
    updatedNanos = nowNanos;
  }

  private static double smooth(double old, double next) {
    return old < 0 ? next : old + SMOOTHING * (next - old);
  }

  /**
   * Returns the mean time to the first token against the usual.
   *
   * @return 1 for the usual time, or below 0 if none was seen
   */
  double firstTokenRatio() {
    return firstTokenRatio;
  }

  /**
   * Returns the mean time between tokens.
   *
   * @return milliseconds, or below 0 if none was seen
   */
  double gapMillis() {
    return gapMillis;
  }

  /**
   * Tells how old the newest observation is.
   *
   * @param nowNanos the time
   * @return milliseconds
   */
  long ageMillis(long nowNanos) {
    return (nowNanos - updatedNanos) / Clock.NANOS_PER_MILLI;
  }
}
