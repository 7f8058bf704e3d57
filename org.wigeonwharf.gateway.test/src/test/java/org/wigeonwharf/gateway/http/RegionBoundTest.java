package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeAttempt;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.FailureDomain;

/**
 * Checks over random routes, accounts, regions, versions and servers that no request and no part of
 * its prompt reaches a server outside of the regions of the configuration at its arrival, or of the
 * one in force when it is sent.
 */
class RegionBoundTest {
  private static final int STEPS = 120;
  private static final int REGIONS = 3;
  private static final EngineSpec ENGINE = new EngineSpec(6, 600_000, 1_000);

  /** One router and its servers. */
  private static final class Play {
    private final Random random;
    private final ExchangeFixture fixture = new ExchangeFixture();
    private final Map<FailureDomain, String> regions = new HashMap<>();
    private final Map<String, RequestKind> kinds = new HashMap<>();
    private final Map<String, RouteTable> arrivedUnder = new HashMap<>();
    private final Map<Integer, String> domains = new HashMap<>();
    private final List<FakeAttempt> open = new ArrayList<>();
    private RouteTable current = ExchangeFixture.table(1);
    private int restrictedSends;
    private int restrictedFetches;
    private int retriesAfterChange;

    Play(long seed) {
      random = new Random(seed);
      for (int i = 0; i < 2 * REGIONS; i++) {
        regions.put(new FailureDomain("d" + i), "r" + i % REGIONS);
      }
      fixture.regions.setRegions(regions);
      fixture.onAttempt = this::check;
      for (int port = 1; port <= 8; port++) {
        publish(port);
      }
    }

    private void publish(int port) {
      String domain = random.nextInt(6) == 0 ? "unknown" : "d" + random.nextInt(2 * REGIONS);
      domains.put(port, domain);
      fixture.directory.put(ExchangeFixture.server("s" + port, domain, port));
    }

    private AllowedRegions randomRegions() {
      return AllowedRegions.of(
          IntStream.range(0, REGIONS)
              .filter(i -> random.nextInt(3) == 0)
              .mapToObj(i -> "r" + i)
              .toList());
    }

    private void activateNext() {
      Map<RequestKind, AllowedRegions> routes = new EnumMap<>(RequestKind.class);
      for (RequestKind kind : RequestKind.values()) {
        routes.put(kind, randomRegions());
      }
      current = ExchangeFixture.table(current.version() + 1, routes::get, randomRegions(), ENGINE);
      fixture.routes(current);
    }

    private AllowedRegions regions(RouteTable table, String id) {
      RequestKind kind = kinds.get(id);
      return RouteTable.regions(
          table.find("host", "/" + kind.name() + "/x"), table.account("key-1"));
    }

    private void check(FakeAttempt a) {
      open.add(a);
      String id = a.request.headers().get(TestProtocol.ID);
      RouteTable arrival = arrivedUnder.get(id);
      String source = a.request.headers().get(TestProtocol.CACHE_SOURCE);
      for (RouteTable table : List.of(arrival, current)) {
        AllowedRegions allowed = regions(table, id);
        String region = regions.get(a.server.domain());
        assertTrue(allowed.permits(region), () -> id + " in " + region + ", not " + allowed);
        if (source != null) {
          String sourceDomain = domains.get(Integer.parseInt(source));
          assertTrue(
              allowed.permits(regions.get(new FailureDomain(sourceDomain))),
              () -> id + " from " + sourceDomain + ", not " + allowed);
        }
        boolean restricted = allowed.restricted();
        restrictedSends += restricted ? 1 : 0;
        restrictedFetches += restricted && source != null ? 1 : 0;
      }
      retriesAfterChange += arrival == current ? 0 : 1;
    }

    private void begin() {
      RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
      String id = "q" + kinds.size();
      kinds.put(id, kind);
      arrivedUnder.put(id, current);
      int family = random.nextInt(3);
      String parts =
          IntStream.range(0, random.nextBoolean() ? 3 : 14)
              .mapToObj(i -> "f" + family + "-" + i)
              .collect(Collectors.joining(","));
      fixture.begin(
          kind, new FakeCaller(), TestProtocol.ID, id, TestProtocol.PARTS, parts + ",own" + id);
    }

    private void respond() {
      if (open.isEmpty()) {
        return;
      }
      FakeAttempt a = open.remove(random.nextInt(open.size()));
      if (a.cancelled) {
        return;
      }
      switch (random.nextInt(5)) {
        case 0 -> a.listener.onUnreachable("refused", true);
        case 1 -> a.listener.onConnectionLost("reset");
        case 2 -> a.respond(503, "full", TestProtocol.NOT_RUN);
        case 3 -> {
          a.respondHead(200, TestProtocol.SIGNED);
          a.respondData("id: 1\ndata: x\n\n");
          a.listener.onConnectionLost("reset");
        }
        default -> a.respond(200, "id: 1\ndata: x\n\n", TestProtocol.SIGNED);
      }
    }

    private void step() {
      switch (random.nextInt(10)) {
        case 0 -> activateNext();
        case 1 -> publish(1 + random.nextInt(12));
        case 2 ->
            fixture.directory.withdraw("s" + (1 + random.nextInt(12)), fixture.timers.nanos());
        case 3, 4, 5, 6 -> begin();
        case 7, 8 -> respond();
        default -> fixture.timers.advanceMillis(random.nextInt(400));
      }
      if (random.nextInt(3) == 0) {
        fixture.exchanges.retryHeld();
      }
    }
  }

  @Property(tries = 300)
  void noRequestAndNoPartOfItsPromptLeavesItsRegions(@ForAll long seed) {
    Play play = new Play(seed);
    for (int i = 0; i < STEPS; i++) {
      play.step();
    }
    collect("restricted requests", play.restrictedSends > 5);
    collect("restricted fetches", play.restrictedFetches > 0);
    collect("sent under a newer version", play.retriesAfterChange > 0);
  }

  /** Checks that the case at hand occurs often enough for the property to say something. */
  private static void collect(String label, boolean occurred) {
    Statistics.label(label)
        .collect(occurred)
        .coverage(c -> c.check(true).percentage(share -> share > 10));
  }
}
