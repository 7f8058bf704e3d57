package org.wigeonwharf.gateway.overload;

/** Tells how the work at the servers of a service is divided among priorities. */
@FunctionalInterface
public interface PriorityMix {
  /**
   * Returns the share of the work that a server begins before that of a request.
   *
   * @param service the service's name
   * @param priority the request's priority; 0 is the highest
   * @return a share from 0 to 1; 1 if nothing is known
   */
  double shareNotLessUrgent(String service, int priority);
}
