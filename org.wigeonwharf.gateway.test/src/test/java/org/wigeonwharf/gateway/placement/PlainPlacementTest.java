package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against requests that queue locally while another failure domain is idle, or that cross
 * failure domains without need, because load, distance and failures are weighed wrongly.
 */
class PlainPlacementTest {
  private static final Demand LOOKUP =
      new Demand("bookings", 0, List.of(), 0, 0, 250, 0, null, AllowedRegions.ALL);

  private final PlainPlacement policy = new PlainPlacement(ServerPenalties.DEFAULT);

  private static Candidate server(boolean local, int running, double slowdown, double failures) {
    return new Candidate(
        new BackendServer(
            "s",
            "bookings",
            new InetSocketAddress("127.0.0.1", 9),
            new FailureDomain("d"),
            6,
            false,
            1),
        local,
        0,
        false,
        new ServerWork(running, 0, 0, 0),
        0,
        slowdown,
        -1,
        failures,
        Candidate.State.SOUND,
        0,
        0,
        0,
        0);
  }

  private double cost(Candidate c) {
    return policy.cost(LOOKUP, c);
  }

  @Test
  void lightlyLoadedLocalServerBeatsIdleRemoteServer() {
    assertTrue(cost(server(true, 2, 1, 0)) < cost(server(false, 0, 1, 0)));
  }

  @Test
  void localQueueLosesToIdleRemoteServer() {
    assertTrue(cost(server(true, 17, 1, 0)) > cost(server(false, 0, 1, 0)));
  }

  @Test
  void slowAndFailingServersLoseToHealthyOnes() {
    assertTrue(cost(server(true, 0, 2.5, 0)) > cost(server(true, 2, 1, 0)));
    assertTrue(cost(server(true, 0, 1, 0.4)) > cost(server(false, 0, 1, 0)));
  }

  @Test
  void serverWithFullQueueIsExcluded() {
    assertEquals(Double.POSITIVE_INFINITY, cost(server(true, 18, 1, 0)));
  }
}
