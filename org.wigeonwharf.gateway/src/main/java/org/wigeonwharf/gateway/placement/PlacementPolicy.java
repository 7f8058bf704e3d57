package org.wigeonwharf.gateway.placement;

/** Computes the cost of sending a request to a candidate server. */
public interface PlacementPolicy {
  /**
   * Returns the cost of one candidate.
   *
   * @param demand the request
   * @param candidate the server
   * @return the cost in milliseconds, comparable between the candidates of one request; infinite if
   *     the server must not receive the request now
   */
  double cost(Demand demand, Candidate candidate);

  /**
   * Returns how much of a request's prompt a server would have to prefill.
   *
   * @param demand the request
   * @param candidate the server
   * @return number of prompt tokens
   */
  default int prefillTokens(Demand demand, Candidate candidate) {
    return demand.promptTokens();
  }

  /**
   * Tells whether a request should wait at the router rather than in the server's queue.
   *
   * @param demand the request
   * @param candidate the server
   * @return true if the request should wait because the server has enough work queued
   */
  default boolean isBusy(Demand demand, Candidate candidate) {
    return false;
  }
}
