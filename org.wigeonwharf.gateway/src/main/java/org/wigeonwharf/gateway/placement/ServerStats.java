package org.wigeonwharf.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/** Tracks the behaviour of one server as observed by this router. Not thread-safe. */
final class ServerStats {
  /**
   * Half-life in ms of the reported slowdown. It is short, since engines send reports that are
   * already a few hundred ms old.
   */
  private static final double SLOWDOWN_HALF_LIFE_MILLIS = 250;

  /** Age in ms above which the reported load is ignored. */
  private static final long REPORT_MAX_AGE_MILLIS = 400;

  /** Weight of one request in the moving average of failures. */
  private static final double FAILURE_WEIGHT = 0.15;

  /**
   * Half-life in ms of the failure rate while no requests end, so that a failing server is tried
   * again.
   */
  private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

  /** Time in ms that a server counts as full after it rejected a request for that reason. */
  private static final long FULL_MILLIS = 60;

  /**
   * Initial backoff in ms after a failure to reach the server; it doubles up to {@link
   * #MAX_BACKOFF_MILLIS}.
   */
  private static final long MIN_BACKOFF_MILLIS = 400;

  private static final long MAX_BACKOFF_MILLIS = 3_000;

  /**
   * Backoff in ms after another router was refused. It is short, since each router that tries in
   * vain renews it for all.
   */
  private static final long REFUSED_ELSEWHERE_MILLIS = 600;

  /**
   * Time in ms with outstanding requests and no answer after which a server counts as unresponsive.
   */
  private static final long RESPONSE_TIMEOUT_MILLIS = 900;

  /** Half-life in ms of the workload averages: about the duration of a stream. */
  private static final double WORKLOAD_HALF_LIFE_MILLIS = 1_500;

  private @Nullable LoadReport report;
  private long reportAt;
  private double averageFailures;
  private long averageFailuresAt;
  private long fullUntil;
  private long backoffUntil;
  private long backoffMillis = MIN_BACKOFF_MILLIS;
  private int unansweredRequests;
  private long noResponseSince;
  private double longPrefillShare;
  private double averageSensitivity;
  private long sampledAt;

  ServerStats(long now) {
    this.averageFailuresAt = now;
    this.fullUntil = now;
    this.backoffUntil = now;
    this.sampledAt = now;
  }

  void recordSent(long now) {
    if (unansweredRequests++ == 0) {
      noResponseSince = now;
    }
  }

  /** Records that the head of an answer was received, or that a request no longer waits for it. */
  void recordResponse(boolean answered, long now) {
    unansweredRequests = Math.max(0, unansweredRequests - 1);
    if (answered) {
      noResponseSince = now;
      backoffMillis = MIN_BACKOFF_MILLIS;
      backoffUntil = now;
    }
  }

  void recordLoadReport(LoadReport newReport, long now) {
    report = newReport;
    reportAt = now;
  }

  void recordEnd(boolean failed, long now) {
    averageFailures = failureRate(now) * (1 - FAILURE_WEIGHT) + (failed ? FAILURE_WEIGHT : 0);
    averageFailuresAt = now;
  }

  void recordFull(long now) {
    fullUntil = now + FULL_MILLIS * Clock.NANOS_PER_MILLI;
  }

  void recordUnreachable(long now) {
    backoffUntil = now + backoffMillis * Clock.NANOS_PER_MILLI;
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
  }

  void recordRefusedElsewhere(long now) {
    long until = now + REFUSED_ELSEWHERE_MILLIS * Clock.NANOS_PER_MILLI;
    if (until - backoffUntil > 0) {
      backoffUntil = until;
    }
  }

  double failureRate(long now) {
    return averageFailures * decayFactor(now - averageFailuresAt, FAILURE_HALF_LIFE_MILLIS);
  }

  Candidate.State state(long now) {
    boolean unresponsive =
        unansweredRequests > 0
            && now - noResponseSince > RESPONSE_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI;
    if (unresponsive || backoffUntil - now > 0) {
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
    return 1 + (r.slowdown() - 1) * decayFactor(now - reportAt, SLOWDOWN_HALF_LIFE_MILLIS);
  }

  /** Updates the workload averages; called for each placement decision. */
  void sampleWorkload(boolean hasLongPrefill, double sensitivity, long now) {
    double decay = decayFactor(now - sampledAt, WORKLOAD_HALF_LIFE_MILLIS);
    longPrefillShare = longPrefillShare * decay + (hasLongPrefill ? 1 - decay : 0);
    averageSensitivity = averageSensitivity * decay + sensitivity * (1 - decay);
    sampledAt = now;
  }

  double longPrefillShare() {
    return longPrefillShare;
  }

  double averageSensitivity() {
    return averageSensitivity;
  }

  private static double decayFactor(long ageNanos, double halfLifeMillis) {
    double millis = Math.max(0, ageNanos) / (double) Clock.NANOS_PER_MILLI;
    return Math.pow(0.5, millis / halfLifeMillis);
  }
}
