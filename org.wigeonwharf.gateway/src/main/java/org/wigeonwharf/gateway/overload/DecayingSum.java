package org.wigeonwharf.gateway.overload;

import org.wigeonwharf.model.Clock;

/** Sums values of which each loses half of its weight in a fixed time. Not thread-safe. */
final class DecayingSum {
  private final double halfLifeNanos;
  private double value;
  private long updatedAt;

  DecayingSum(double halfLifeMillis, long now) {
    this.halfLifeNanos = halfLifeMillis * Clock.NANOS_PER_MILLI;
    this.updatedAt = now;
  }

  void add(double amount, long now) {
    value = at(now) + amount;
    updatedAt = now;
  }

  double at(long now) {
    return value * Math.pow(0.5, Math.max(0, now - updatedAt) / halfLifeNanos);
  }
}
