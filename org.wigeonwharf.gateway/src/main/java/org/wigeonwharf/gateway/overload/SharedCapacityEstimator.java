package org.wigeonwharf.gateway.overload;

import java.util.OptionalDouble;
import java.util.function.IntSupplier;
import org.wigeonwharf.gateway.placement.ServiceLoad;

/**
 * Estimates waits from the servers' slots, of which each router counts an equal share as its own.
 *
 * <p>Designed for many routers whose callers are spread evenly: when no server has room, all
 * routers see that within the age of their reports, and all have requests waiting. Each then gets
 * the slots that become free in proportion to its number. Requests at the servers precede a request
 * unless they are less urgent.
 */
public final class SharedCapacityEstimator implements WaitEstimator {
  private final SlotTimes slotTimes;
  private final PriorityMix mix;
  private final IntSupplier routers;

  /**
   * Creates an estimator.
   *
   * @param slotTimes how long requests use a slot
   * @param mix the priorities of the requests at the servers
   * @param routers supplies the number of routers, this one included
   */
  public SharedCapacityEstimator(SlotTimes slotTimes, PriorityMix mix, IntSupplier routers) {
    this.slotTimes = slotTimes;
    this.mix = mix;
    this.routers = routers;
  }

  @Override
  public OptionalDouble startMillis(
      QueuedRequest request, ServiceLoad load, double slotMillisAhead) {
    double mean = slotTimes.ofService(request.service());
    if (mean <= 0 || load.slots() == 0) {
      return OptionalDouble.empty();
    }
    double inLine = slotMillisAhead * Math.max(1, routers.getAsInt()) / load.slots();
    double share = mix.shareNotLessUrgent(request.service(), request.priority());
    double atServer = share * load.queued() * mean / load.slots();
    return OptionalDouble.of(inLine + atServer);
  }
}
