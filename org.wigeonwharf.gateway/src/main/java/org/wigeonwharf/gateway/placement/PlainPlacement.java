package org.wigeonwharf.gateway.placement;

/**
 * A PlainPlacement prices servers of plain services: short requests of unknown work.
 *
 * <p>Answers the load of short requests with a small spread of work on few slots, where the wait
 * grows with the requests ahead, and of servers that slow down for moments.
 */
public final class PlainPlacement implements PlacementPolicy {
  /** Usual time of one request in ms, until better is known; sets load against distance. */
  private static final double WORK_MILLIS = 40;

  /** Requests beyond the slots that a server may have queued, as a multiple of its slots. */
  private static final double QUEUE_FACTOR = 2;

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
    if (c.load() >= slots * (1 + QUEUE_FACTOR)) {
      return Double.POSITIVE_INFINITY;
    }
    double queued = Math.max(0, c.load() + 1 - slots) / (double) slots;
    double crowding = c.load() / (double) slots;
    double work = WORK_MILLIS * c.slowdown() * (1 + queued + crowding / 2);
    return work + penalties.of(c);
  }
}
