package org.wigeonwharf.gateway.placement;

/** A PlacementPolicy prices sending a request to a server. */
public interface PlacementPolicy {
  /**
   * Prices one candidate.
   *
   * @param demand the request
   * @param candidate the server
   * @return the cost in milliseconds, comparable between the candidates of one request; infinite if
   *     the server must not get it now
   */
  double cost(Demand demand, Candidate candidate);

  /**
   * Counts what a server would have to read of a request's prompt.
   *
   * @param demand the request
   * @param candidate the server
   * @return prompt tokens
   */
  default int prefillTokens(Demand demand, Candidate candidate) {
    return demand.promptTokens();
  }

  /**
   * Tells whether a request does better to wait a moment at the router than at the server.
   *
   * @param demand the request
   * @param candidate the server
   * @return true if the server has enough to do for now
   */
  default boolean isBusy(Demand demand, Candidate candidate) {
    return false;
  }
}
