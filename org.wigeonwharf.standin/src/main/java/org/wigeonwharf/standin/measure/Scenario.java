package org.wigeonwharf.standin.measure;

import org.wigeonwharf.model.Clock;

/**
 * A Scenario is a shape of load and faults over time.
 *
 * @param name its name in the table
 * @param baseLoad offered work outside the crest, as a part of capacity
 * @param crestLoad offered work within the crest, as a part of capacity
 * @param hasStragglers true if one server in eight is slow for moments
 */
record Scenario(String name, double baseLoad, double crestLoad, boolean hasStragglers) {
  /** Arrivals end here; work goes on to {@link #END_NANOS}. */
  static final long ARRIVALS_END_NANOS = 120 * Clock.NANOS_PER_SECOND;

  /** End of a run. */
  static final long END_NANOS = 720 * Clock.NANOS_PER_SECOND;

  /** The crest begins to rise here. */
  static final long CREST_START_NANOS = 40 * Clock.NANOS_PER_SECOND;

  /** The crest has risen fully after this time. */
  static final long CREST_RAMP_NANOS = 2 * Clock.NANOS_PER_SECOND;

  /** How long the crest lasts, its rise included. */
  static final long CREST_DURATION_NANOS = 20 * Clock.NANOS_PER_SECOND;

  /** A straggling server takes this many times longer. */
  static final double STRAGGLER_SLOW_FACTOR = 5;

  /** How long a moment of straggling lasts. */
  static final long STRAGGLER_PERIOD_NANOS = 6 * Clock.NANOS_PER_SECOND;

  /** One server in this many straggles at a time. */
  static final int SERVERS_PER_STRAGGLER = 8;

  /** Load reports show what was true this long ago. */
  static final long REPORT_LAG_NANOS = 2 * Clock.NANOS_PER_SECOND;

  static final Scenario STEADY = new Scenario("steady", 0.8, 0.8, false);
  static final Scenario CREST = new Scenario("crest", 0.6, 3.0, false);
  static final Scenario STRAGGLERS = new Scenario("stragglers", 0.7, 0.7, true);

  boolean isCrest(long nanos) {
    return crestLoad > baseLoad
        && nanos >= CREST_START_NANOS
        && nanos < CREST_START_NANOS + CREST_DURATION_NANOS;
  }

  /** Returns the offered work at a time, as a part of capacity. */
  double loadAt(long nanos) {
    if (!isCrest(nanos)) {
      return baseLoad;
    }
    double rampFraction = Math.min(1, (double) (nanos - CREST_START_NANOS) / CREST_RAMP_NANOS);
    return baseLoad + (crestLoad - baseLoad) * rampFraction;
  }
}
