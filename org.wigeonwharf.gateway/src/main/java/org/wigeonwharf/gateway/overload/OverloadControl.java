package org.wigeonwharf.gateway.overload;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Holds what a router knows and decides about overload.
 *
 * @param usage the server time that priorities and accounts have used
 * @param slotTimes how long requests use a slot
 * @param headroom keeps room at servers for more urgent requests
 * @param policy decides which requests wait
 * @param retryAfter chooses when refused callers should come back
 */
public record OverloadControl(
    ServerUsage usage,
    SlotTimes slotTimes,
    UrgentHeadroom headroom,
    OverloadPolicy policy,
    RetryAfter retryAfter) {
  /**
   * Creates the control of a router that shares the servers with others.
   *
   * @param routers supplies the number of routers, this one included
   * @param random spreads the return of refused callers
   * @return the control, which has measured nothing yet
   */
  public static OverloadControl create(IntSupplier routers, RandomGenerator random) {
    ServerUsage usage = new ServerUsage();
    SlotTimes slotTimes = new SlotTimes();
    WaitEstimator estimator = new SharedCapacityEstimator(slotTimes, usage, routers);
    return new OverloadControl(
        usage,
        slotTimes,
        new UrgentHeadroom(usage),
        new DeadlinePolicy(estimator),
        new RetryAfter(random));
  }
}
