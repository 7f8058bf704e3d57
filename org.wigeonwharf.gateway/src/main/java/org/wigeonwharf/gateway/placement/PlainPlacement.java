package org.wigeonwharf.gateway.placement;

/**
 * Computes placement costs for plain services and for requests without a prompt.
 *
 * <p>Designed for short requests of similar but unknown size on servers with few slots, where the
 * wait grows with the number of requests ahead, and for servers that slow down temporarily.
 */
public final class PlainPlacement implements PlacementPolicy {
  /** Service time of a typical request in ms, which weighs load against distance. */
  private static final double TYPICAL_REQUEST_MILLIS = 40;

  /** Maximum number of queued requests per slot. */
  private static final double MAX_QUEUE_PER_SLOT = 2;

  private final ServerPenalties penalties;

  /**
   * Creates a policy.
   *
   * @param penalties costs of distance and failures
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
