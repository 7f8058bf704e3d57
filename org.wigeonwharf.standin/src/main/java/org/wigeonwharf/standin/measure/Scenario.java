package org.wigeonwharf.standin.measure;

import org.wigeonwharf.model.Clock;

/**
 * Describes the offered load and the server slowdowns of a run over time.
 *
 * <p>The crest is a temporary peak of the offered load.
 *
 * @param name name of the scenario in the printed table
 * @param baseLoad offered load outside the crest, as a fraction of capacity
 * @param crestLoad offered load within the crest, as a fraction of capacity
 * @param hasStragglers true if one server in eight is slowed down at a time
 */
record Scenario(String name, double baseLoad, double crestLoad, boolean hasStragglers) {
  /** End of the arrivals; jobs that have arrived run on until {@link #END_NANOS}. */
  static final long ARRIVALS_END_NANOS = 120 * Clock.NANOS_PER_SECOND;

  /** End of a run. */
  static final long END_NANOS = 720 * Clock.NANOS_PER_SECOND;

  /** Time at which the crest starts to ramp up. */
  static final long CREST_START_NANOS = 40 * Clock.NANOS_PER_SECOND;

  /** Duration of the ramp-up to the full crest load. */
  static final long CREST_RAMP_NANOS = 2 * Clock.NANOS_PER_SECOND;

  /** Duration of the crest, including its ramp-up. */
  static final long CREST_DURATION_NANOS = 20 * Clock.NANOS_PER_SECOND;

  /** Multiplier of the processing time of a straggling server. */
  static final double STRAGGLER_SLOW_FACTOR = 5;

  /** Duration of one slowdown of a straggling server. */
  static final long STRAGGLER_PERIOD_NANOS = 6 * Clock.NANOS_PER_SECOND;

  /** One in this many servers is slowed down at a time. */
  static final int SERVERS_PER_STRAGGLER = 8;

  /** Age of the load that load reports show. */
  static final long REPORT_LAG_NANOS = 2 * Clock.NANOS_PER_SECOND;

  static final Scenario STEADY = new Scenario("steady", 0.8, 0.8, false);
  static final Scenario CREST = new Scenario("crest", 0.6, 3.0, false);
  static final Scenario STRAGGLERS = new Scenario("stragglers", 0.7, 0.7, true);

  boolean isCrest(long nanos) {
    return crestLoad > baseLoad
        && nanos >= CREST_START_NANOS
        && nanos < CREST_START_NANOS + CREST_DURATION_NANOS;
  }

  /** Returns the offered load at a time, as a fraction of capacity. */
  double loadAt(long nanos) {
    if (!isCrest(nanos)) {
      return baseLoad;
    }
    double rampFraction = Math.min(1, (double) (nanos - CREST_START_NANOS) / CREST_RAMP_NANOS);
    return baseLoad + (crestLoad - baseLoad) * rampFraction;
  }
}
