package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against requests that leave the regions that their route and account allow, and against
 * those that end otherwise than by a refusal because no server in such a region is left.
 */
class RegionExchangeTest {
  private static final AllowedRegions NORTH = AllowedRegions.of(Set.of("north"));
  private static final AllowedRegions SOUTH = AllowedRegions.of(Set.of("south"));
  private static final AllowedRegions ALL = AllowedRegions.ALL;
  private static final String EVENT = "id: 1\ndata: x\n\n";
  private static final double MAX_HOLD_MILLIS = 1_500;

  private final ExchangeFixture fixture = new ExchangeFixture();
  private final FakeCaller caller = new FakeCaller();

  @BeforeEach
  void setRegions() {
    fixture.regions.setRegions(
        Map.of(
            new FailureDomain("n1"), "north",
            new FailureDomain("n2"), "north",
            new FailureDomain("s1"), "south"));
  }

  private static RouteTable table(long version, AllowedRegions route, AllowedRegions account) {
    return ExchangeFixture.table(version, kind -> route, account, null);
  }

  private void publish(String id, String domain) {
    fixture.directory.put(ExchangeFixture.server(id, domain, 9));
    fixture.exchanges.retryHeld();
  }

  private void activate(RouteTable table) {
    fixture.routes(table);
    fixture.exchanges.retryHeld();
  }

  private Set<String> sentTo() {
    return fixture.attempts.stream().map(a -> a.server.id()).collect(Collectors.toSet());
  }

  private void assertRefused(FakeCaller refused) {
    assertEquals(503, refused.status);
    assertTrue(Double.parseDouble(refused.headers.get("retry-after")) > 0);
  }

  @ParameterizedTest
  @EnumSource(RequestKind.class)
  void onlyServersThatRouteAndAccountAllowAreUsed(RequestKind kind) {
    AllowedRegions both = AllowedRegions.of(Set.of("north", "south"));
    fixture.routes(table(1, both, SOUTH));
    publish("in-south", "s1");
    for (String domain : List.of("n1", "n2", "nowhere")) {
      publish("in-" + domain, domain);
    }
    for (int i = 0; i < 30; i++) {
      fixture.begin(kind, new FakeCaller());
    }
    assertEquals(Set.of("in-south"), sentTo());
  }

  @Test
  void serverOfUnknownFailureDomainServesUnrestrictedRequestsOnly() {
    publish("unknown", "nowhere");
    fixture.routes(table(2, ALL, ALL));
    fixture.begin(RequestKind.IDEMPOTENT, caller);
    assertEquals(1, fixture.attempts.size());
    fixture.routes(table(3, NORTH, ALL));
    FakeCaller restricted = new FakeCaller();
    fixture.begin(RequestKind.IDEMPOTENT, restricted);
    fixture.timers.advanceMillis(ExchangeFixture.TIMEOUT_MILLIS);
    assertEquals(1, fixture.attempts.size());
    assertRefused(restricted);
  }

  @ParameterizedTest
  @EnumSource(RequestKind.class)
  void routeAndAccountWithoutCommonRegionAreRefusedAtOnce(RequestKind kind) {
    publish("north", "n1");
    publish("south", "s1");
    fixture.routes(table(2, NORTH, SOUTH));
    fixture.begin(kind, caller);
    assertRefused(caller);
    assertEquals(0, fixture.attempts.size());
  }

  // A failure: all links to the servers of one region are cut and restored later.
  @ParameterizedTest
  @EnumSource(RequestKind.class)
  void regionThatIsCutOffIsAwaitedAndThenRefused(RequestKind kind) {
    publish("a-north", "n1");
    publish("b-north", "n2");
    publish("south", "s1");
    fixture.routes(table(2, ALL, NORTH));
    boolean[] cut = {true};
    fixture.onAttempt =
        a -> {
          if (cut[0] && !a.server.id().equals("south")) {
            fixture.timers.schedule(1, () -> a.listener.onUnreachable("cut off", false));
          }
        };
    final long beganAt = fixture.timers.nanos();
    fixture.begin(kind, caller);
    while (caller.status == 0) {
      fixture.timers.advanceMillis(1);
    }
    assertRefused(caller);
    assertTrue((fixture.timers.nanos() - beganAt) / 1e6 <= MAX_HOLD_MILLIS + 1);
    assertFalse(sentTo().contains("south"));
    cut[0] = false;
    FakeCaller later = new FakeCaller();
    fixture.begin(kind, later);
    fixture.attempts.get(fixture.attempts.size() - 1).respond(200, EVENT, TestProtocol.SIGNED);
    assertEquals(200, later.status);
    assertFalse(sentTo().contains("south"));
  }

  @Test
  void requestWaitsForTheReturnOfServersInItsRegion() {
    publish("south", "s1");
    fixture.routes(table(2, NORTH, ALL));
    fixture.begin(RequestKind.UNREPEATABLE, caller);
    fixture.timers.advanceMillis(300);
    assertEquals(0, caller.status);
    assertEquals(0, fixture.attempts.size());
    publish("north", "n2");
    assertEquals(Set.of("north"), sentTo());
  }

  @Test
  void retryStaysInTheRegion() {
    publish("north", "n1");
    publish("south", "s1");
    fixture.routes(table(2, NORTH, ALL));
    fixture.begin(RequestKind.IDEMPOTENT, caller);
    fixture.attempt(0).listener.onConnectionLost("reset");
    fixture.timers.advanceMillis(ExchangeFixture.TIMEOUT_MILLIS);
    assertEquals(Set.of("north"), sentTo());
  }

  // Another server could resume the stream, but only one outside of the region is left.
  @Test
  void streamIsNotResumedOutside() {
    publish("north", "n1");
    publish("south", "s1");
    fixture.routes(table(2, NORTH, ALL));
    fixture.begin(RequestKind.RESUMABLE_STREAM, caller);
    fixture.attempt(0).respondHead(200, TestProtocol.SIGNED);
    fixture.attempt(0).respondData(EVENT);
    fixture.directory.withdraw("north", fixture.timers.nanos());
    fixture.attempt(0).listener.onConnectionLost("reset");
    fixture.timers.advanceMillis(ExchangeFixture.TIMEOUT_MILLIS);
    assertTrue(caller.aborted);
    assertEquals(Set.of("north"), sentTo());
  }

  @Test
  void newVersionRestrictsHeldRequests() {
    fixture.routes(table(2, ALL, ALL));
    fixture.begin(RequestKind.UNREPEATABLE, caller);
    activate(table(3, NORTH, ALL));
    publish("south", "s1");
    fixture.timers.advanceMillis(100);
    assertEquals(0, fixture.attempts.size());
    publish("north", "n1");
    assertEquals(Set.of("north"), sentTo());
  }

  @Test
  void newVersionRestrictsRetries() {
    publish("south", "s1");
    fixture.routes(table(2, ALL, ALL));
    fixture.begin(RequestKind.IDEMPOTENT, caller);
    publish("a-south", "s1");
    publish("north", "n1");
    activate(table(3, ALL, NORTH));
    fixture.attempt(0).listener.onConnectionLost("reset");
    assertEquals("north", fixture.attempt(1).server.id());
  }

  @Test
  void newVersionDoesNotLiftTheRegionsOfEarlierRequests() {
    publish("south", "s1");
    fixture.routes(table(2, NORTH, ALL));
    fixture.begin(RequestKind.UNREPEATABLE, caller);
    activate(table(3, ALL, ALL));
    fixture.timers.advanceMillis(ExchangeFixture.TIMEOUT_MILLIS);
    assertRefused(caller);
    assertEquals(0, fixture.attempts.size());
    fixture.begin(RequestKind.UNREPEATABLE, new FakeCaller());
    assertEquals(Set.of("south"), sentTo());
  }

  // The request was held in the north; the newer configuration allows only the south.
  @Test
  void heldRequestWhoseRegionsExcludeEachOtherIsRefusedAtOnce() {
    fixture.routes(table(2, NORTH, ALL));
    fixture.begin(RequestKind.UNREPEATABLE, caller);
    publish("south", "s1");
    activate(table(3, SOUTH, ALL));
    assertRefused(caller);
    assertEquals(0, fixture.attempts.size());
  }

  // A failed attempt may have run, so that 503 would be a false promise.
  @Test
  void requestThatMayHaveRunIsNotRefusedWhenItsRegionsExcludeEachOther() {
    publish("north", "n1");
    fixture.routes(table(2, NORTH, ALL));
    fixture.begin(RequestKind.IDEMPOTENT, caller);
    activate(table(3, SOUTH, ALL));
    fixture.attempt(0).listener.onConnectionLost("reset");
    assertEquals(502, caller.status);
  }
}
