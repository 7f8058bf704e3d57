package org.wigeonwharf.gateway.limit;

import java.util.Collection;
import java.util.random.RandomGenerator;
import org.wigeonwharf.gateway.backend.RendezvousWeight;

/**
 * Divides rates that must not be exceeded among the routers without an exchange of demand.
 *
 * <p>Each failure domain has an equal, fixed part of the rate for a server. Within it, as few
 * routers as can use the part at about one request per second each admit requests to that server:
 * those with the lowest rendezvous weights among the live ones. Routers of different failure
 * domains need not know each other, and a failure domain that is cut off keeps to its part. Not
 * thread-safe.
 */
public final class DomainShares {
  /**
   * Maximum number of requests that a router sends at once. All routers together may send that many
   * each in the first moment.
   */
  private static final double MAX_BURST = 1;

  private final FleetView fleet;
  private final RandomGenerator random;

  /**
   * Creates an instance.
   *
   * @param fleet what this router knows of the fleet
   * @param random spreads the first requests of the routers
   */
  public DomainShares(FleetView fleet, RandomGenerator random) {
    this.fleet = fleet;
    this.random = random;
  }

  /**
   * Begins this router's share of the rate for one server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public Share begin(String server, long now) {
    return new Share(server, now);
  }

  /** Holds this router's share of the rate for one server. */
  public final class Share {
    private final String server;
    private final TokenBucket bucket;

    private Share(String server, long now) {
      this.server = server;
      this.bucket = new TokenBucket(random.nextDouble(), now);
    }

    /**
     * Returns this router's share at present.
     *
     * @param perSecond the rate for the server in requests per second from all routers
     * @return requests per second; 0 if this router admits none
     */
    public double perSecond(double perSecond) {
      if (!fleet.isSettled()) {
        return 0;
      }
      double part = perSecond / Math.max(1, fleet.failureDomains());
      Collection<String> peers = fleet.domainPeers();
      int admitting = (int) Math.min(Math.ceil(part), 1 + fleet.maxDomainPeers());
      return rankAmong(peers) < admitting ? part / admitting : 0;
    }

    private int rankAmong(Collection<String> peers) {
      String self = fleet.self();
      long own = RendezvousWeight.of(server, self);
      int rank = 0;
      for (String peer : peers) {
        long weight = RendezvousWeight.of(server, peer);
        rank += weight < own || weight == own && peer.compareTo(self) < 0 ? 1 : 0;
      }
      return rank;
    }

    /**
     * Returns how long this router has to wait until it may send a request to the server.
     *
     * @param perSecond the rate for the server in requests per second from all routers
     * @param now the current time in nanoseconds
     * @return the time in ms; infinite if other routers admit all requests to it
     */
    public double waitMillis(double perSecond, long now) {
      double own = perSecond(perSecond);
      bucket.earn(own, MAX_BURST, now);
      return own > 0 ? bucket.waitMillis(own) : Double.POSITIVE_INFINITY;
    }

    /** Records that a request is sent to the server. */
    public void recordSent() {
      bucket.take();
    }
  }
}
