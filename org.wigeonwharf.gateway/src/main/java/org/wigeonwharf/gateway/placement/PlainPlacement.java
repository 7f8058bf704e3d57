package org.wigeonwharf.gateway.placement;

/**
 * A PlainPlacement prices servers of plain services: short requests of unknown work.
 *
 * <p>Answers the load of short requests with a small spread of work on few slots, where the wait
 * grows with the requests ahead, and of servers that slow down for moments.
 */
public final class PlainPlacement implements PlacementPolicy {
  /** Usual time of one request in ms, until better is known; sets load against distance. */
  private static final double TYPICAL_REQUEST_MILLIS = 40;

  /** Requests beyond the slots that a server may have queued, as a multiple of its slots. */
  private static final double MAX_QUEUE_PER_SLOT = 2;

  private final ServerPenalties penalties;

  /**
   * Creates a policy.
   *
   * @param penalties prices of distance and failures
   */
  public PlainPlacement(ServerPenalties penalties) {
    this.penalties = penalties;
  }

  @Override
  public double cost(Demand demand, Candidate c) {
    int slots = Math.max(1, c.server().slots());
    if (c.load() >= slots * (1 + MAX_QUEUE_PER_SLOT)) {
      return Double.POSITIVE_INFINITY;
    }
    double queued = Math.max(0, c.load() + 1 - slots) / (double) slots;
    double utilization = c.load() / (double) slots;
    double workMillis = TYPICAL_REQUEST_MILLIS * c.slowdown() * (1 + queued + utilization / 2);
    return workMillis + penalties.total(c);
  }
}
