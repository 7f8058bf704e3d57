package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.limit.FixedFleet;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.notice.NoticeLog;
import org.wigeonwharf.gateway.notice.ServerNotices;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against long prompts that stall interactive streams, shared prefixes that are recomputed
 * needlessly, and servers that are overloaded or unreachable but still chosen over others.
 */
class PromptPlacementTest {
  private static final ServerNotices NO_NOTICES =
      new ServerNotices(
          new ServerLimits(new LimitLog(new MetricRegistry()), () -> 0, new Random(7), 0),
          new DomainShares(new FixedFleet(), new Random(7)),
          service -> ColdStart.NONE,
          new NoticeLog(new MetricRegistry()));
  private static final FailureDomain LOCAL = new FailureDomain("local");
  private static final FailureDomain REMOTE = new FailureDomain("remote");
  private static final ServiceSpec MODEL_SERVICE =
      new ServiceSpec("model", 100, new EngineSpec(64, 500_000, 1_000));
  private static final ServiceSpec NO_FETCH_SERVICE =
      new ServiceSpec("model", 100, new EngineSpec(64, 500_000, 0));
  private static final long STEP_NANOS = 50 * Clock.NANOS_PER_MILLI;

  private final InFlightTracker inFlight = new InFlightTracker(Clock.NANOS_PER_SECOND);
  private final PrefixCacheIndex prefixCaches = new PrefixCacheIndex();
  private final ServerChooser chooser =
      new ServerChooser(LOCAL, inFlight, prefixCaches, ServerPenalties.DEFAULT, NO_NOTICES);
  private final List<BackendServer> servers = new ArrayList<>();
  private long now = Clock.NANOS_PER_SECOND;
  private int nextPart;

  private void addEngines(int local, int remote) {
    for (int i = 0; i < local + remote; i++) {
      servers.add(
          new BackendServer(
              "s" + i,
              "model",
              new InetSocketAddress("127.0.0.1", 9),
              i < local ? LOCAL : REMOTE,
              64,
              false,
              1));
    }
  }

  private Demand chatRequest() {
    return demand(600, 200, List.of(new PromptPart("own" + nextPart++, 600)));
  }

  private Demand longRequest(String sharedId) {
    return demand(
        11_000,
        900,
        List.of(new PromptPart(sharedId, 5_000), new PromptPart("own" + nextPart++, 6_000)));
  }

  private static Demand demand(int tokens, long interTokenMillis, List<PromptPart> parts) {
    return new Demand(
        "model", 0, parts, tokens, 300, 1_000, interTokenMillis, null, AllowedRegions.ALL);
  }

  private String place(Demand d) {
    Choice c = chooser.choose(d, MODEL_SERVICE, servers, Set.of(), false, true, now);
    String id = c.candidate().server().id();
    InFlightTracker.Entry entry = chooser.recordSent(d, c, now);
    chooser.recordResponse(id, true, now);
    now += STEP_NANOS;
    if (d.promptTokens() < 1_000) {
      entry.markPrefilled();
    }
    return id;
  }

  @Test
  void longPromptsAvoidEnginesWithInteractiveStreams() {
    addEngines(3, 0);
    Map<String, Integer> chats = new HashMap<>();
    for (int i = 0; i < 20; i++) {
      chats.merge(place(chatRequest()), 1, Integer::sum);
    }
    for (int i = 0; i < 12; i++) {
      assertTrue(!chats.containsKey(place(longRequest("topic" + i))));
    }
  }

  @Test
  void interactiveStreamsAvoidEnginesThatPrefillLongPrompts() {
    addEngines(3, 0);
    String busy = place(longRequest("topic"));
    for (int i = 0; i < 20; i++) {
      assertNotEquals(busy, place(chatRequest()));
    }
  }

  @Test
  void sharedPrefixGoesToTheSameEngineWhileItKeepsUp() {
    addEngines(2, 2);
    Demand first = longRequest("topic");
    Choice c = choose(first, Set.of());
    InFlightTracker.Entry entry = chooser.recordSent(first, c, now);
    chooser.recordResponse(c.candidate().server().id(), true, now);
    entry.markPrefilled();
    now += Clock.NANOS_PER_SECOND;
    assertEquals(c.candidate().server().id(), place(longRequest("topic")));
  }

  @Test
  void sharedPrefixStaysOnItsEngineIfCachesCannotBeFetched() {
    addEngines(2, 2);
    Demand first = longRequest("topic");
    Choice c = chooser.choose(first, NO_FETCH_SERVICE, servers, Set.of(), false, true, now);
    chooser.recordSent(first, c, now);
    chooser.recordResponse(c.candidate().server().id(), true, now);
    now += Clock.NANOS_PER_SECOND;
    Choice next =
        chooser.choose(longRequest("topic"), NO_FETCH_SERVICE, servers, Set.of(), false, true, now);
    assertEquals(c.candidate().server().id(), next.candidate().server().id());
  }

  @Test
  void sharedPrefixMovesToAnotherEngineUnderBacklog() {
    addEngines(4, 0);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      used.add(place(longRequest("topic")));
    }
    assertTrue(used.size() > 1, used.toString());
  }

  @Test
  void engineFetchesPrefixCachedElsewhere() {
    addEngines(1, 1);
    prefixCaches.recordRemoteSends(Map.of("s1", List.of(new PromptPart("topic", 5_000))));
    Choice c = choose(longRequest("topic"), Set.of("s1"));
    assertEquals("s1", c.cacheSource().id());
    assertEquals(6_000, c.prefillTokens());
  }

  @Test
  void enginePrefillsAgainIfCachesCannotBeFetched() {
    addEngines(1, 1);
    prefixCaches.recordRemoteSends(Map.of("s1", List.of(new PromptPart("topic", 5_000))));
    Choice c =
        chooser.choose(
            longRequest("topic"), NO_FETCH_SERVICE, servers, Set.of("s1"), false, true, now);
    assertNull(c.cacheSource());
    assertEquals(11_000, c.prefillTokens());
    assertEquals(
        "s1",
        chooser
            .choose(longRequest("topic"), NO_FETCH_SERVICE, servers, Set.of(), false, true, now)
            .candidate()
            .server()
            .id());
  }

  @Test
  void nothingIsFetchedFromAnUnreachableEngine() {
    addEngines(1, 1);
    prefixCaches.recordRemoteSends(Map.of("s1", List.of(new PromptPart("topic", 5_000))));
    chooser.recordUnreachable("s1", now);
    Choice c = choose(longRequest("topic"), Set.of());
    assertEquals("s0", c.candidate().server().id());
    assertNull(c.cacheSource());
  }

  @Test
  void restartedRouterFetchesLongPrefixFromItsOwner() {
    addEngines(2, 0);
    String owner = place(longRequest("topic"));
    ServerChooser restarted =
        new ServerChooser(
            LOCAL, inFlight, new PrefixCacheIndex(), ServerPenalties.DEFAULT, NO_NOTICES);
    Choice c =
        restarted.choose(
            longRequest("topic"), MODEL_SERVICE, servers, Set.of(owner), false, true, now);
    assertEquals(owner, c.cacheSource().id());
    assertEquals(11_000, c.prefillTokens());
  }

  @Test
  void sharedPrefixSpreadsIfCachesCanBeFetched() {
    addEngines(4, 0);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 4; i++) {
      used.add(place(longRequest("topic")));
    }
    assertTrue(used.size() > 1, used.toString());
  }

  private Choice choose(Demand d, Set<String> tried) {
    return chooser.choose(d, MODEL_SERVICE, servers, tried, false, true, now);
  }

  @Test
  void overloadedFailureDomainSpillsToAnother() {
    addEngines(1, 1);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 80; i++) {
      used.add(place(chatRequest()));
    }
    assertEquals(Set.of("s0", "s1"), used);
  }

  @Test
  void lightLoadStaysInTheLocalFailureDomain() {
    addEngines(1, 3);
    for (int i = 0; i < 5; i++) {
      assertEquals("s0", place(chatRequest()));
    }
  }

  @Test
  void peerWorkCountsUntilItExpires() {
    addEngines(2, 0);
    String first = place(chatRequest());
    inFlight.replaceReport("peer", Map.of(first, new ServerWork(20, 0, 200_000, 200_000)), now);
    assertNotEquals(first, place(chatRequest()));
    now += 20 * Clock.NANOS_PER_SECOND;
    assertEquals(0, inFlight.workAt("s1", now).plus(inFlight.workAt("s0", now)).prefillTokens());
  }

  @Test
  void unreachableServerIsUsedOnlyAsLastResort() {
    addEngines(2, 0);
    String first = place(chatRequest());
    chooser.recordUnreachable(first, now);
    assertNotEquals(first, place(chatRequest()));
    servers.removeIf(s -> !s.id().equals(first));
    assertEquals(first, place(chatRequest()));
  }
}
