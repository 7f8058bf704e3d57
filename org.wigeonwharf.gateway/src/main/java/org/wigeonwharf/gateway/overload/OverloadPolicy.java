package org.wigeonwharf.gateway.overload;

import org.wigeonwharf.gateway.placement.ServiceLoad;

/** Decides whether a request for which no server has room waits or is refused. */
public interface OverloadPolicy {
  /**
   * Decides about one request.
   *
   * @param request the request
   * @param load the load of the servers that it may go to
   * @param slotMillisAhead slot time in ms that requests ahead of it at this router need
   * @param now the current time in nanoseconds
   * @return the decision, which holds until the load changes
   */
  OverloadDecision decide(
      QueuedRequest request, ServiceLoad load, double slotMillisAhead, long now);
}
