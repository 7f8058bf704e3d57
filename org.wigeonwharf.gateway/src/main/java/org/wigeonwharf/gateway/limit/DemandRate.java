package org.wigeonwharf.gateway.limit;

import org.wigeonwharf.model.Clock;

/** Estimates the rate of recent events as a decaying average. Not thread-safe. */
final class DemandRate {
  /** Half-life in ms: several messages between failure domains. */
  private static final double HALF_LIFE_MILLIS = 2_000;

  private static final double WEIGHT_PER_EVENT = Math.log(2) / (HALF_LIFE_MILLIS / 1_000);

  private double perSecond;
  private long updatedAt;

  DemandRate(long now) {
    updatedAt = now;
  }

  void recordEvent(long now) {
    perSecond = perSecond(now) + WEIGHT_PER_EVENT;
    updatedAt = now;
  }

  /** Returns the rate in events per second. */
  double perSecond(long now) {
    double millis = Math.max(0, now - updatedAt) / (double) Clock.NANOS_PER_MILLI;
    return perSecond * Math.pow(0.5, millis / HALF_LIFE_MILLIS);
  }
}
