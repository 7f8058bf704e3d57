package org.wigeonwharf.gateway.placement;

/**
 * Computes the cost of using a server that is cold or was so a moment ago.
 *
 * <p>Such a server has no load and would otherwise be the cheapest one of all routers. Requests
 * that can't bear a slow or failing server use it only if no other is left. After the cold time the
 * load that {@link ServerChooser} adds lets its load rise over some seconds; prompts have a further
 * cost, which falls in that time at all routers alike, since a server without any prefill backlog
 * attracts them more than its load shows.
 */
final class ColdStartCost {
  /** Cost in ms of a cold server to a request that tolerates a slow one. */
  private static final double TOLERANT_MILLIS = 300;

  /** Cost in ms of a server just after its cold time to a request with a prompt. */
  private static final double RAMP_MILLIS = 300;

  /** Cost in ms that makes any warm server preferable to a cold one. */
  private static final double LAST_RESORT_MILLIS = 1e6;

  /** Lowest priority, as a number, of requests that count as urgent. */
  private static final int URGENT_PRIORITY = 1;

  private ColdStartCost() {}

  /**
   * Returns the cost of a server.
   *
   * @param demand the request
   * @param retry true if the request was sent to another server before
   * @param coldness 1 while the server is cold, then falling to 0
   * @return the cost in ms; 0 for a warm server
   */
  static double millis(Demand demand, boolean retry, double coldness) {
    if (coldness == 0) {
      return 0;
    }
    if (coldness < 1) {
      return demand.hasPrompt() ? RAMP_MILLIS * coldness : 0;
    }
    boolean tolerant =
        !retry && demand.latencySensitivity() == 0 && demand.priority() > URGENT_PRIORITY;
    return tolerant ? TOLERANT_MILLIS : LAST_RESORT_MILLIS;
  }
}
