package org.wigeonwharf.gateway.placement;

/**
 * Holds the costs of using a server apart from its load, in milliseconds of a caller's wait.
 *
 * @param distanceMillis cost of a round trip to another failure domain, including that of the
 *     traffic
 * @param failureMillis cost of a server all of whose answers fail
 * @param fullMillis cost of a server that has just rejected a request because it is full
 * @param unresponsiveMillis cost of a server that does not answer
 */
public record ServerPenalties(
    double distanceMillis, double failureMillis, double fullMillis, double unresponsiveMillis) {
  /**
   * Default costs. Distance is a handshake and a round trip between regions with a one-way delay of
   * 20 ms, plus the cost of traffic. A failure costs a retry. Full and unresponsive servers are a
   * last resort, in this order.
   */
  public static final ServerPenalties DEFAULT = new ServerPenalties(90, 600, 2_000, 10_000);

  /**
   * Returns the total cost for a server.
   *
   * @param c the candidate
   * @return the cost in milliseconds
   */
  public double total(Candidate c) {
    double p = c.local() ? 0 : distanceMillis;
    p += c.failureRate() * failureMillis;
    return switch (c.state()) {
      case SOUND -> p;
      case FULL -> p + fullMillis;
      case SILENT -> p + unresponsiveMillis;
    };
  }
}
