package org.wigeonwharf.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/** ServerStats are one server's behaviour as this router has seen it. */
final class ServerStats {
  /** Age in ms at which a report counts half; engines report some hundred ms late already. */
  private static final double REPORT_HALF_LIFE_MILLIS = 250;

  /** Age in ms from which a reported queue is no longer used. */
  private static final long REPORT_MAX_AGE_MILLIS = 400;

  /** Weight of one answer in the failure rate. */
  private static final double FAILURE_WEIGHT = 0.15;

  /** Time in ms in which the failure rate halves without answers, so that a server gets retried. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

  /** How long, in ms, a server counts as full after it said so. */
  private static final long FULL_MILLIS = 60;

  /** First and longest time in ms for which an unreachable server is avoided. */
  private static final long MIN_AVOID_MILLIS = 400;

  private static final long MAX_AVOID_MILLIS = 3_000;

  /** Silence in ms, with requests sent, from which a server counts as silent. */
  private static final long SILENCE_MILLIS = 900;

  /** Time in ms over which the kind of work is averaged: about the life of a stream. */
  private static final double USUAL_HALF_LIFE_MILLIS = 1_500;

  private @Nullable LoadReport report;
  private long reportAt;
  private double failures;
  private long failuresAt;
  private long fullUntil;
  private long avoidUntil;
  private long avoidMillis = MIN_AVOID_MILLIS;
  private int unanswered;
  private long silentSince;
  private double bulkShare;
  private double usualTightness;
  private long lookedAt;

  ServerStats(long now) {
    this.failuresAt = now;
    this.fullUntil = now;
    this.avoidUntil = now;
    this.lookedAt = now;
  }

  void sent(long now) {
    if (unanswered++ == 0) {
      silentSince = now;
    }
  }

  /** Notes that a request got its answer's head, or was given up. */
  void settled(boolean heard, long now) {
    unanswered = Math.max(0, unanswered - 1);
    if (heard) {
      silentSince = now;
      avoidMillis = MIN_AVOID_MILLIS;
      avoidUntil = now;
    }
  }

  void reported(LoadReport r, long now) {
    report = r;
    reportAt = now;
  }

  void ended(boolean failed, long now) {
    failures = failureRate(now) * (1 - FAILURE_WEIGHT) + (failed ? FAILURE_WEIGHT : 0);
    failuresAt = now;
  }

  void full(long now) {
    fullUntil = now + FULL_MILLIS * Clock.NANOS_PER_MILLI;
  }

  void unreachable(long now) {
    avoidUntil = now + avoidMillis * Clock.NANOS_PER_MILLI;
    avoidMillis = Math.min(MAX_AVOID_MILLIS, avoidMillis * 2);
  }

  double failureRate(long now) {
    return failures * halved(now - failuresAt, FAILURE_HALF_LIFE_MILLIS);
  }

  Candidate.State state(long now) {
    boolean silent = unanswered > 0 && now - silentSince > SILENCE_MILLIS * Clock.NANOS_PER_MILLI;
    if (silent || avoidUntil - now > 0) {
      return Candidate.State.SILENT;
    }
    return fullUntil - now > 0 ? Candidate.State.FULL : Candidate.State.SOUND;
  }

  long reportAgeMillis(long now) {
    return report == null ? -1 : (now - reportAt) / Clock.NANOS_PER_MILLI;
  }

  int reportedLoad(long now) {
    LoadReport r = report;
    if (r == null || reportAgeMillis(now) > REPORT_MAX_AGE_MILLIS) {
      return 0;
    }
    return r.running() + r.waiting();
  }

  double slowdown(long now) {
    LoadReport r = report;
    if (r == null) {
      return 1;
    }
    return 1 + (r.slowdown() - 1) * halved(now - reportAt, REPORT_HALF_LIFE_MILLIS);
  }

  /** Averages what the server has to do; called at each look at it. */
  void look(boolean hasBulk, double tightness, long now) {
    double keep = halved(now - lookedAt, USUAL_HALF_LIFE_MILLIS);
    bulkShare = bulkShare * keep + (hasBulk ? 1 - keep : 0);
    usualTightness = usualTightness * keep + tightness * (1 - keep);
    lookedAt = now;
  }

  double bulkShare() {
    return bulkShare;
  }

  double usualTightness() {
    return usualTightness;
  }

  private static double halved(long ageNanos, double halfLifeMillis) {
    double millis = Math.max(0, ageNanos) / (double) Clock.NANOS_PER_MILLI;
    return Math.pow(0.5, millis / halfLifeMillis);
  }
}
