package org.wigeonwharf.schedule;

/** Observations turn what was seen of a lease into estimates of server speed and answer length. */
final class Observations {
  private final ServerPool pool;
  private final LengthEstimates lengths;

  Observations(ServerPool pool, LengthEstimates lengths) {
    this.pool = pool;
    this.lengths = lengths;
  }

  /**
   * Learns from the start of an answer.
   *
   * @param r its lease
   * @param millis time to the first token in milliseconds
   * @param nowNanos the time
   */
  void firstToken(RunningLease r, long millis, long nowNanos) {
    if (r.firstTokenSeen || r.spec == null) {
      return;
    }
    r.firstTokenSeen = true;
    lengths.began(r.spec, millis);
    double usual = Math.max(1, lengths.firstTokenMillis(r.spec));
    pool.sawFirstToken(r.server, millis / usual, nowNanos);
  }

  /**
   * Learns from the end of a lease.
   *
   * @param r the lease
   * @param o how it ended
   * @param nowNanos the time
   */
  void ended(RunningLease r, Outcome o, long nowNanos) {
    if (o.end() == LeaseEnd.NOT_STARTED) {
      r.server.refusedToStart(nowNanos);
    }
    if (o.firstTokenMillis() >= 0) {
      firstToken(r, o.firstTokenMillis(), nowNanos);
    }
    if (r.spec == null) {
      return;
    }
    if (o.tokens() > 1 && o.firstTokenMillis() >= 0) {
      double gap = (o.totalMillis() - o.firstTokenMillis()) / (double) (o.tokens() - 1);
      pool.sawGap(r.server, gap, r.spec.tokenGapTarget().toMillis(), nowNanos);
    }
    if (o.end() == LeaseEnd.FINISHED) {
      r.server.finished();
      lengths.finished(r.spec, r.account, o.tokens(), o.totalMillis());
    }
  }
}
