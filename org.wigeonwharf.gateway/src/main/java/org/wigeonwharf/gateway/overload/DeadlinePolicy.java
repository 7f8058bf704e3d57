package org.wigeonwharf.gateway.overload;

import java.util.OptionalDouble;
import org.wigeonwharf.gateway.placement.ServiceLoad;

/**
 * Refuses the requests that no server can answer while their callers wait.
 *
 * <p>Designed for overload, in which the time that a request waits for nothing is lost to its
 * caller, who could have come back to another router. A late answer is worth more than none, so
 * that the caller's patience decides and not the latency objective. Without overload nothing is
 * refused, whatever the estimate says.
 */
public final class DeadlinePolicy implements OverloadPolicy {
  /** Fraction of slots in use below which servers do not count as overloaded. */
  private static final double MIN_UTILIZATION = 0.5;

  /** Factor by which an estimate has to exceed the caller's patience, as estimates are rough. */
  private static final double ESTIMATE_MARGIN = 1.5;

  private final WaitEstimator estimator;

  /**
   * Creates a policy.
   *
   * @param estimator estimates when a server begins with a request
   */
  public DeadlinePolicy(WaitEstimator estimator) {
    this.estimator = estimator;
  }

  @Override
  public OverloadDecision decide(
      QueuedRequest request, ServiceLoad load, double slotMillisAhead, long now) {
    double patience = request.patienceMillis(now);
    if (load.servers() == 0 && load.opensInMillis() > 0) {
      return load.opensInMillis() + request.ownMillis() > ESTIMATE_MARGIN * patience
          ? new OverloadDecision.Refuse(load.opensInMillis(), patience)
          : new OverloadDecision.Wait(false);
    }
    if (load.taken() < MIN_UTILIZATION * load.slots()) {
      return new OverloadDecision.Wait(false);
    }
    OptionalDouble start = estimator.startMillis(request, load, slotMillisAhead);
    if (start.isEmpty()) {
      return new OverloadDecision.Wait(false);
    }
    if (start.getAsDouble() + request.ownMillis() > ESTIMATE_MARGIN * patience) {
      return new OverloadDecision.Refuse(start.getAsDouble(), patience);
    }
    return new OverloadDecision.Wait(true);
  }
}
