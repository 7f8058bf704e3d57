package org.wigeonwharf.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

/**
 * Guards against quarantines of harmless prompt parts, quarantines that never end, and routers that
 * disagree.
 */
class PromptQuarantineTest {
  private static final long MINUTE_MILLIS = 60_000;

  private final MetricRegistry metrics = new MetricRegistry();
  private final PromptQuarantine quarantine = newQuarantine();
  private long now = Clock.NANOS_PER_SECOND;
  private int servers;

  private PromptQuarantine newQuarantine() {
    return new PromptQuarantine(new QuarantineLog(metrics), new Random(7), now);
  }

  private void advanceMillis(long millis) {
    now += millis * Clock.NANOS_PER_MILLI;
  }

  private void crash(PromptQuarantine observer, String... answering) {
    observer.recordServerEnd(
        new ServerEnd("s" + ++servers, 1, Set.of(answering), Set.of(), Set.of()), now, now);
    advanceMillis(1_000);
  }

  private void crashTimes(int times, String... answering) {
    for (int i = 0; i < times; i++) {
      crash(quarantine, answering);
    }
  }

  private boolean isQuarantined(PromptQuarantine q, String part) {
    return q.find(List.of(part), now) != null;
  }

  private boolean isQuarantined(String part) {
    return isQuarantined(quarantine, part);
  }

  @Test
  void partIsQuarantinedAfterFourServersEndedWithIt() {
    crash(quarantine, "bad", "a");
    crash(quarantine, "bad", "b");
    crash(quarantine, "bad", "c");
    assertFalse(isQuarantined("bad"));
    crash(quarantine, "bad", "c");
    PromptQuarantine.Hit hit = quarantine.find(List.of("x", "bad"), now);
    assertNotNull(hit);
    assertEquals("bad", hit.part());
    assertTrue(hit.remainingMillis() > 4 * MINUTE_MILLIS, "ends in " + hit.remainingMillis());
    assertNull(quarantine.find(List.of("a", "b", "c"), now));
    assertEquals(1, metrics.counter("quarantine.begun").getCount());
  }

  @Test
  void endsThatOnePartExplainsDoNotCountAgainstAnother() {
    crashTimes(3, "bad", "bystander");
    crash(quarantine, "bad");
    crash(quarantine, "bad", "bystander");
    assertTrue(isQuarantined("bad"));
    assertFalse(isQuarantined("bystander"));
  }

  @Test
  void partThatIsAnsweredInBetweenIsNotQuarantined() {
    for (int i = 0; i < 20; i++) {
      crash(quarantine, "shared");
      quarantine.recordProven(List.of("shared"), now);
    }
    assertFalse(isQuarantined("shared"));
  }

  private void crashWhileRunning(String... running) {
    quarantine.recordServerEnd(
        new ServerEnd("s" + ++servers, 1, Set.of(), Set.of(), Set.of(running)), now, now);
    advanceMillis(1_000);
  }

  // Guards against a part that is never quarantined because its answers last for a while.
  @Test
  void partThatEndsServersLateInItsAnswersIsQuarantined() {
    for (int i = 0; i < 6; i++) {
      quarantine.recordBegun(List.of("bad"), now);
      crashWhileRunning("bad", "session" + i % 3);
    }
    assertFalse(isQuarantined("bad"));
    crashWhileRunning("bad");
    assertTrue(isQuarantined("bad"));
    quarantine.recordBegun(List.of("bad"), now);
    assertTrue(isQuarantined("bad"), "the begin of an answer proves nothing of its end");
    quarantine.recordProven(List.of("bad"), now);
    assertFalse(isQuarantined("bad"));
  }

  @Test
  void longAnswersThatAreLostNowAndThenAreNoEvidence() {
    for (int i = 0; i < 60; i++) {
      crashWhileRunning(i % 4 < 3 ? "long" : "other", "common");
      if (i % 5 == 4) {
        quarantine.recordProven(List.of("common"), now);
      }
    }
    assertFalse(isQuarantined("long"));
    assertFalse(isQuarantined("common"));
  }

  @Test
  void oneMoreCrashLateInAnAnswerRenewsTheQuarantine() {
    for (int i = 0; i < 7; i++) {
      crashWhileRunning("bad");
    }
    assertTrue(isQuarantined("bad"));
    advanceMillis(6 * MINUTE_MILLIS);
    assertFalse(isQuarantined("bad"));
    crashWhileRunning("bad");
    assertTrue(isQuarantined("bad"));
  }

  @Test
  void partThatTurnsHarmfulIsQuarantinedToo() {
    quarantine.recordProven(List.of("bad"), now);
    advanceMillis(1_000);
    crashTimes(5, "bad");
    assertFalse(isQuarantined("bad"));
    crash(quarantine, "bad");
    assertTrue(isQuarantined("bad"));
  }

  @Test
  void serversThatEndTogetherCountOnce() {
    for (int i = 0; i < 8; i++) {
      quarantine.recordServerEnd(
          new ServerEnd("s" + i, 1, Set.of("shared"), Set.of(), Set.of()), now, now);
      advanceMillis(5);
    }
    advanceMillis(1_000);
    assertFalse(isQuarantined("shared"));
  }

  @Test
  void requestsThatOnlyWaitedAreWeakerEvidence() {
    for (int i = 0; i < 7; i++) {
      quarantine.recordServerEnd(
          new ServerEnd("s" + i, 1, Set.of(), Set.of("part"), Set.of()), now, now);
      advanceMillis(1_000);
    }
    assertFalse(isQuarantined("part"));
    quarantine.recordServerEnd(
        new ServerEnd("s7", 1, Set.of(), Set.of("part"), Set.of()), now, now);
    advanceMillis(1_000);
    assertTrue(!isQuarantined("other") && isQuarantined("part"));
  }

  @Test
  void quarantineEndsAndOneCrashRenewsItForLonger() {
    crashTimes(4, "bad");
    assertTrue(isQuarantined("bad"));
    advanceMillis(4 * MINUTE_MILLIS);
    assertTrue(isQuarantined("bad"));
    advanceMillis(2 * MINUTE_MILLIS);
    assertFalse(isQuarantined("bad"));
    crash(quarantine, "bad");
    assertTrue(isQuarantined("bad"));
    advanceMillis(9 * MINUTE_MILLIS);
    assertTrue(isQuarantined("bad"));
    advanceMillis(2 * MINUTE_MILLIS);
    assertFalse(isQuarantined("bad"));
  }

  @Test
  void crashOfAnotherPartDoesNotRenewTheQuarantine() {
    crashTimes(4, "bad");
    assertTrue(isQuarantined("bad"));
    advanceMillis(6 * MINUTE_MILLIS);
    assertFalse(isQuarantined("bad"));
    crash(quarantine, "other");
    assertFalse(isQuarantined("bad"));
  }

  @Test
  void endsCountAgainstOthersAgainOnceTheirExplanationIsRefuted() {
    crashTimes(2, "bad", "hasty");
    crash(quarantine, "hasty");
    crashTimes(2, "bad", "hasty");
    assertTrue(isQuarantined("hasty"));
    quarantine.recordProven(List.of("hasty"), now);
    assertFalse(isQuarantined("hasty"));
    quarantine.find(List.of(), now);
    advanceMillis(300);
    assertTrue(isQuarantined("bad"));
  }

  @Test
  void partThatIsAnsweredAfterItsQuarantineIsForgotten() {
    crashTimes(4, "part");
    assertTrue(isQuarantined("part"));
    advanceMillis(6 * MINUTE_MILLIS);
    quarantine.recordProven(List.of("part"), now);
    advanceMillis(1_000);
    crash(quarantine, "part");
    assertFalse(isQuarantined("part"));
  }

  @Test
  void peersLearnQuarantineAndMissingEvidence() {
    PromptQuarantine peer = newQuarantine();
    crash(quarantine, "bad");
    crash(peer, "bad");
    crash(quarantine, "bad");
    crash(quarantine, "bad");
    assertTrue(quarantine.merge(peer.state(now), now));
    assertFalse(quarantine.merge(peer.state(now), now), "nothing new");
    advanceMillis(300);
    assertTrue(isQuarantined("bad"));
    PromptQuarantine restarted = newQuarantine();
    restarted.merge(quarantine.state(now), now);
    assertTrue(isQuarantined(restarted, "bad"));
  }

  @Test
  void peerThatHasSeenThePartAnsweredObjects() {
    PromptQuarantine peer = newQuarantine();
    peer.recordProven(List.of("shared"), now);
    crashTimes(4, "shared");
    assertTrue(isQuarantined("shared"));
    peer.merge(quarantine.state(now), now);
    quarantine.merge(peer.state(now), now);
    assertFalse(isQuarantined("shared"));
    assertFalse(isQuarantined(peer, "shared"));
    quarantine.merge(peer.state(now), now);
    peer.merge(quarantine.state(now), now);
    assertFalse(isQuarantined("shared"));
  }

  @Test
  void partThatSeldomComesIsQuarantinedToo() {
    for (int i = 0; i < 4; i++) {
      crash(quarantine, "bad");
      advanceMillis(2 * MINUTE_MILLIS);
      quarantine.find(List.of(), now);
    }
    assertTrue(isQuarantined("bad"));
  }

  @Test
  void partIsFoundAmongThoseOfAllRequestsOfLargeServers() {
    for (int end = 0; end < 4; end++) {
      for (int request = 0; request < 60; request++) {
        String session = "session" + end + "-" + request;
        boolean last = request == 59;
        quarantine.recordServerEnd(
            new ServerEnd(
                "s" + end,
                1,
                Set.copyOf(List.of("common", session, last ? "bad" : "common")),
                Set.of(),
                Set.of()),
            now,
            now);
      }
      quarantine.recordProven(List.of("common"), now + 1);
      advanceMillis(1_000);
    }
    assertTrue(isQuarantined("bad"));
    assertFalse(isQuarantined("common"));
  }

  @Test
  void oldEvidenceExpires() {
    crashTimes(3, "part");
    advanceMillis(11 * MINUTE_MILLIS);
    quarantine.find(List.of(), now);
    crash(quarantine, "part");
    assertFalse(isQuarantined("part"));
    advanceMillis(11 * MINUTE_MILLIS);
    quarantine.find(List.of(), now);
    assertEquals(QuarantineState.EMPTY, quarantine.state(now));
  }

  @Test
  void floodOfPartsKeepsSharedStateSmall() {
    for (int i = 0; i < 5_000; i++) {
      String id = "x".repeat(500) + i;
      quarantine.recordServerEnd(
          new ServerEnd("s" + i, 1, Set.of(id, id + "a", id + "b"), Set.of(id + "c"), Set.of()),
          now,
          now);
      quarantine.recordProven(List.of(id), now);
    }
    QuarantineState state = quarantine.state(now);
    int parts = 0;
    for (QuarantineState.AgedEnd e : state.ends()) {
      for (String id : e.end().answering()) {
        assertTrue(id.length() <= 32, id);
        parts++;
      }
    }
    assertTrue(parts > 0 && parts <= 170, parts + " parts");
    assertTrue(state.proven().size() <= 64, state.proven().size() + " proofs");
    assertTrue(state.quarantined().size() <= 64);
  }

  @Property(tries = 200)
  void routersAgreeInWhateverOrderTheyLearn(@ForAll long seed) {
    Random order = new Random(seed);
    List<PromptQuarantine> routers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      routers.add(newQuarantine());
    }
    for (int i = 0; i < 6; i++) {
      crash(routers.get(order.nextInt(4)), "bad", "part" + order.nextInt(3));
      routers.get(order.nextInt(4)).recordProven(List.of("part" + i % 3), now);
    }
    for (int round = 0; round < 3; round++) {
      List<PromptQuarantine> senders = new ArrayList<>(routers);
      Collections.shuffle(senders, order);
      for (PromptQuarantine sender : senders) {
        routers.forEach(r -> r.merge(sender.state(now), now));
      }
      routers.forEach(r -> r.find(List.of(), now));
      advanceMillis(300);
    }
    routers.forEach(r -> assertTrue(isQuarantined(r, "bad")));
    for (int i = 0; i < 3; i++) {
      String part = "part" + i;
      routers.forEach(r -> assertFalse(isQuarantined(r, part)));
    }
  }
}
