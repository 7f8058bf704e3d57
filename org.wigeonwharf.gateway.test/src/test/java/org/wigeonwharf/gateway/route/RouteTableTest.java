package org.wigeonwharf.gateway.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach the wrong service because the host, the path prefix or the
 * weights of a split are misinterpreted.
 */
class RouteTableTest {
  private static Route route(String host, String prefix, ServiceShare... split) {
    return new Route(
        prefix,
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        1,
        1,
        0,
        0,
        List.of(split),
        1,
        true,
        AllowedRegions.ALL);
  }

  private static final ServiceShare ALL = new ServiceShare("a", 1);

  private final RouteTable table =
      new RouteTable(
          1,
          List.of(route("h", "/a/", ALL), route("h", "/a/b/", ALL), route("other", "/", ALL)),
          List.of(new ServiceSpec("a", 1, null)),
          CallerLimits.DEFAULT,
          null);

  private String find(String host, String path) {
    Route r = table.find(host, path);
    return r == null ? "none" : r.name();
  }

  @Test
  void longestPrefixOfTheHostWins() {
    assertEquals("/a/b/", find("h", "/a/b/c"));
    assertEquals("/a/", find("h", "/a/bc"));
    assertEquals("/", find("other", "/a/b/c"));
  }

  @Test
  void routeToUnknownServiceIsRejected() {
    List<Route> routes = List.of(route("h", "/", new ServiceShare("nowhere", 1)));
    assertThrows(
        IllegalArgumentException.class,
        () -> new RouteTable(1, routes, List.of(), CallerLimits.DEFAULT, null));
  }

  @Test
  void hostIgnoresCaseAndPort() {
    assertEquals("/a/", find("H:8080", "/a/x"));
  }

  @Test
  void prefixMatchesThePathOnly() {
    assertNull(table.find("h", "/x?y=/a/"));
    assertNull(table.find("h", "/a?b"));
    assertEquals("/a/", find("h", "/a/?x"));
  }

  @Test
  void splitFollowsItsWeights() {
    Route r = route("h", "/", new ServiceShare("a", 90), new ServiceShare("b", 10));
    int b = 0;
    for (int i = 0; i < 1_000; i++) {
      b += r.pickService(i / 1_000.0).equals("b") ? 1 : 0;
    }
    assertEquals(100, b);
    assertTrue(route("h", "/", new ServiceShare("a", 0), ALL).pickService(0).equals("a"));
  }
}
