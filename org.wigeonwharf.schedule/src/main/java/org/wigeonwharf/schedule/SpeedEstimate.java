package org.wigeonwharf.schedule;

import org.wigeonwharf.model.Clock;

/**
 * A SpeedEstimate follows a server's first-token time and token gap, as moving means that weigh the
 * newest most. Not thread-safe.
 */
final class SpeedEstimate {
  private static final double STEP = 0.4;

  private double firstTokenMillis = -1;
  private double gapMillis = -1;
  private long seenNanos;

  void sawFirstToken(double millis, long nowNanos) {
    firstTokenMillis = mix(firstTokenMillis, millis);
    seenNanos = nowNanos;
  }

  void sawGap(double millis, long nowNanos) {
    gapMillis = mix(gapMillis, millis);
    seenNanos = nowNanos;
  }

  private static double mix(double old, double next) {
    return old < 0 ? next : old + STEP * (next - old);
  }

  /**
   * Returns the mean time to the first token.
   *
   * @return milliseconds, or below 0 if none was seen
   */
  double firstTokenMillis() {
    return firstTokenMillis;
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
    return (nowNanos - seenNanos) / Clock.NANOS_PER_MILLI;
  }
}
