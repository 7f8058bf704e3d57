package org.wigeonwharf.schedule;

/** Updates the answer estimates, server speeds and server backoff from the events of a lease. */
final class LeaseObserver {
  private final ServerPool pool;
  private final AnswerEstimates estimates;

  LeaseObserver(ServerPool pool, AnswerEstimates estimates) {
    this.pool = pool;
    this.estimates = estimates;
  }

  /**
   * Records the start of an answer; only the first call for a lease counts.
   *
   * @param r its lease
   * @param millis time to the first token in milliseconds
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void recordFirstToken(RunningLease r, long millis, long nowNanos) {
    if (r.firstTokenSeen || r.spec == null) {
      return;
    }
    r.firstTokenSeen = true;
    estimates.recordFirstToken(r.spec, millis);
    double meanMillis = Math.max(1, estimates.firstTokenMillis(r.spec));
    pool.recordFirstToken(r.server, millis / meanMillis, nowNanos);
  }

  /**
   * Records the end of a lease.
   *
   * @param r the lease
   * @param o its outcome
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void recordEnd(RunningLease r, Outcome o, long nowNanos) {
    if (o.end() == LeaseEnd.NOT_STARTED) {
      r.server.backOff(nowNanos);
    }
    if (o.firstTokenMillis() >= 0) {
      recordFirstToken(r, o.firstTokenMillis(), nowNanos);
    }
    if (r.spec == null) {
      return;
    }
    if (o.tokens() > 1 && o.firstTokenMillis() >= 0) {
      double gap = (o.totalMillis() - o.firstTokenMillis()) / (double) (o.tokens() - 1);
      pool.recordTokenGap(r.server, gap, r.spec.tokenGapTarget().toMillis(), nowNanos);
    }
    if (o.end() == LeaseEnd.FINISHED) {
      r.server.resetBackoff();
      estimates.recordFinished(r.spec, r.account, o.tokens(), o.totalMillis());
    }
  }
}
