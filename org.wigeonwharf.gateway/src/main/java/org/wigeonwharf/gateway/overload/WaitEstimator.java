package org.wigeonwharf.gateway.overload;

import java.util.OptionalDouble;
import org.wigeonwharf.gateway.placement.ServiceLoad;

/** Estimates when a server begins with a waiting request. */
public interface WaitEstimator {
  /**
   * Estimates the time until a server begins with a request for which no server has room now.
   *
   * @param request the request
   * @param load the load of the servers that it may go to
   * @param slotMillisAhead slot time in ms that requests ahead of it at this router need
   * @return the time in ms; empty if too little is known
   */
  OptionalDouble startMillis(QueuedRequest request, ServiceLoad load, double slotMillisAhead);
}
