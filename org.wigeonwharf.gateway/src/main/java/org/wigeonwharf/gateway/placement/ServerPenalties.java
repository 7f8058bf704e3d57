package org.wigeonwharf.gateway.placement;

/**
 * ServerPenalties are the prices, in milliseconds of a caller's wait, of what speaks against a
 * server beside its load.
 *
 * @param distanceMillis a round trip to another failure domain, with the price of its bytes
 * @param failureMillis a server all of whose answers fail
 * @param fullMillis a server that has just said it is full
 * @param unresponsiveMillis a server that does not answer
 */
public record ServerPenalties(
    double distanceMillis, double failureMillis, double fullMillis, double unresponsiveMillis) {
  /**
   * Two one-way delays between regions of 20 ms with the handshake's; a failed answer costs a
   * retry; full and silent servers are a last resort, in this order.
   */
  public static final ServerPenalties DEFAULT = new ServerPenalties(90, 600, 2_000, 10_000);

  /**
   * Sums up the prices for a server.
   *
   * @param c the server
   * @return milliseconds
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
