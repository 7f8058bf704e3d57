package org.wigeonwharf.schedule;

import org.wigeonwharf.model.Clock;

/**
 * Tracks a server's first-token times, relative to the mean of their class, and its inter-token
 * latency as exponentially weighted moving means. Not thread-safe.
 */
final class SpeedEstimate {
  private static final double SMOOTHING = 0.4;

  private double firstTokenRatio = -1;
  private double tokenGapMillis = -1;
  private long updatedNanos;

  void recordFirstToken(double ratio, long nowNanos) {
    firstTokenRatio = smooth(firstTokenRatio, ratio);
    updatedNanos = nowNanos;
  }

  void recordTokenGap(double millis, long nowNanos) {
    tokenGapMillis = smooth(tokenGapMillis, millis);
    updatedNanos = nowNanos;
  }

  private static double smooth(double old, double next) {
    return old < 0 ? next : old + SMOOTHING * (next - old);
  }

  /**
   * Returns the mean ratio of the time to the first token to the mean of its class.
   *
   * @return 1 for an average server, negative if none was observed
   */
  double firstTokenRatio() {
    return firstTokenRatio;
  }

  /**
   * Returns the mean inter-token latency.
   *
   * @return milliseconds, negative if none was observed
   */
  double tokenGapMillis() {
    return tokenGapMillis;
  }

  /**
   * Returns the age of the newest observation.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return milliseconds
   */
  long ageMillis(long nowNanos) {
    return (nowNanos - updatedNanos) / Clock.NANOS_PER_MILLI;
  }
}
