package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

class PromptPlacementTest {
  private static final FailureDomain HERE = new FailureDomain("here");
  private static final FailureDomain THERE = new FailureDomain("there");
  private static final ServiceSpec ENGINES =
      new ServiceSpec("model", 100, new EngineSpec(64, 500_000));
  private static final long STEP = 50 * Clock.NANOS_PER_MILLI;

  private final WorkLedger ledger = new WorkLedger(Clock.NANOS_PER_SECOND);
  private final ServerChooser chooser = new ServerChooser(HERE, ledger, ServerPenalties.DEFAULT);
  private final List<BackendServer> servers = new ArrayList<>();
  private long now = Clock.NANOS_PER_SECOND;
  private int prompts;

  private void engines(int here, int there) {
    for (int i = 0; i < here + there; i++) {
      servers.add(
          new BackendServer(
              "s" + i,
              "model",
              new InetSocketAddress("127.0.0.1", 9),
              i < here ? HERE : THERE,
              64,
              false,
              1));
    }
  }

  private Demand question() {
    return demand(600, 200, List.of(new PromptPart("own" + prompts++, 600)));
  }

  private Demand report(String topic) {
    return demand(
        11_000,
        900,
        List.of(new PromptPart(topic, 5_000), new PromptPart("own" + prompts++, 6_000)));
  }

  private static Demand demand(int tokens, long gap, List<PromptPart> parts) {
    return new Demand("model", 0, parts, tokens, 300, 1_000, gap);
  }

  private String place(Demand d) {
    Choice c = chooser.choose(d, ENGINES, servers, Set.of(), false, now);
    String id = c.candidate().server().id();
    WorkLedger.Ticket ticket = chooser.sent(d, c, now);
    chooser.settled(id, true, now);
    now += STEP;
    if (d.promptTokens() < 1_000) {
      ticket.prefilled();
    }
    return id;
  }

  @Test
  void longPromptsKeepOffEnginesThatRunTightStreams() {
    engines(3, 0);
    Map<String, Integer> questions = new HashMap<>();
    for (int i = 0; i < 20; i++) {
      questions.merge(place(question()), 1, Integer::sum);
    }
    for (int i = 0; i < 12; i++) {
      assertTrue(!questions.containsKey(place(report("topic" + i))));
    }
  }

  @Test
  void tightStreamsKeepOffEnginesThatReadLongPrompts() {
    engines(3, 0);
    String busy = place(report("topic"));
    for (int i = 0; i < 20; i++) {
      assertNotEquals(busy, place(question()));
    }
  }

  @Test
  void reportsOfOneTopicGoToOneEngineWhileItKeepsUp() {
    engines(2, 2);
    String home = place(report("topic"));
    now += Clock.NANOS_PER_SECOND;
    ledger.own().keySet().forEach(s -> assertEquals(home, s));
    assertEquals(home, place(report("topic")));
  }

  @Test
  void reportsOfOneTopicMoveOnWhenTheirEngineFallsBehind() {
    engines(4, 0);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      used.add(place(report("topic")));
    }
    assertTrue(used.size() > 1, used.toString());
  }

  @Test
  void crowdedFailureDomainSpillsToAnother() {
    engines(1, 1);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 80; i++) {
      used.add(place(question()));
    }
    assertEquals(Set.of("s0", "s1"), used);
  }

  @Test
  void lightLoadStaysInItsFailureDomain() {
    engines(1, 3);
    for (int i = 0; i < 5; i++) {
      assertEquals("s0", place(question()));
    }
  }

  @Test
  void workOfPeersCountsUntilTheyFallSilent() {
    engines(2, 0);
    String first = place(question());
    ledger.heard("peer", Map.of(first, new ServerWork(20, 0, 200_000, 200_000)), now);
    assertNotEquals(first, place(question()));
    now += 20 * Clock.NANOS_PER_SECOND;
    assertEquals(0, ledger.at("s1", now).plus(ledger.at("s0", now)).prefillTokens());
  }

  @Test
  void unreachableServerIsLastResortOnly() {
    engines(2, 0);
    String first = place(question());
    chooser.unreachable(first, now);
    assertNotEquals(first, place(question()));
    servers.removeIf(s -> !s.id().equals(first));
    assertEquals(first, place(question()));
  }
}
