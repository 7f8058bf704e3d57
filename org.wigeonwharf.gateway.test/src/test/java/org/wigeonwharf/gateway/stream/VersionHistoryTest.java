package org.wigeonwharf.gateway.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/** Guards against software versions that are forgotten while their streams may still go on. */
class VersionHistoryTest {
  private final VirtualTimers timers = new VirtualTimers();
  private final ServerDirectory directory = new ServerDirectory(0);
  private final VersionHistory history = new VersionHistory(timers);

  VersionHistoryTest() {
    directory.addListener(history);
    history.startWatching();
  }

  static BackendServer server(String id, String version, long startedAt) {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9);
    return new BackendServer(
        id,
        "service",
        address,
        new FailureDomain("d"),
        6,
        false,
        startedAt,
        version,
        0,
        StorePosition.NONE);
  }

  private Set<String> servedInLast(long millis) {
    return history.servedSince("service", timers.nanos() - millis * Clock.NANOS_PER_MILLI);
  }

  @Test
  void serverCountsAsServingForSomeTimeAfterItsEntryWasRemoved() {
    directory.put(server("a", "v1", 1));
    directory.put(server("b", "v2", 1));
    directory.withdraw("a", timers.nanos());
    timers.advanceMillis(VersionHistory.SERVES_AFTER_REMOVAL_MILLIS);
    assertEquals(Set.of("v1", "v2"), servedInLast(0));
    timers.advanceMillis(1);
    assertEquals(Set.of("v2"), servedInLast(0));
    assertEquals(Set.of("v1", "v2"), servedInLast(1));
  }

  @Test
  void drainingServerServes() {
    directory.put(server("a", "v1", 1));
    BackendServer s = server("a", "v1", 1);
    directory.put(
        new BackendServer(
            s.id(),
            s.service(),
            s.address(),
            s.domain(),
            6,
            true,
            1,
            s.softwareVersion(),
            0,
            StorePosition.NONE));
    timers.advanceMillis(60_000);
    assertEquals(Set.of("v1"), servedInLast(0));
  }

  @Test
  void serverThatRestartsWithAnotherVersionHasServedBoth() {
    directory.put(server("a", "v1", 1));
    directory.put(server("a", "v2", 2));
    assertEquals(Set.of("v1", "v2"), servedInLast(0));
    timers.advanceMillis(60_000);
    assertEquals(Set.of("v2"), servedInLast(0));
  }

  @Test
  void serviceHasSeveralVersionsUntilSomeTimeAfterOneHasLeft() {
    directory.put(server("a", "v1", 1));
    assertFalse(history.hasSeveralVersions("service"));
    directory.put(server("b", "v2", 1));
    assertTrue(history.hasSeveralVersions("service"));
    assertEquals(1, history.countSeveralVersions());
    directory.withdraw("a", timers.nanos());
    timers.advanceMillis(30_000);
    assertTrue(history.hasSeveralVersions("service"));
    timers.advanceMillis(11_000);
    assertFalse(history.hasSeveralVersions("service"));
  }

  @Test
  void peerTellsWhatServedBeforeThisRouterStarted() {
    directory.put(server("b", "v2", 1));
    long second = Clock.NANOS_PER_SECOND;
    assertFalse(history.covers(timers.nanos() - second));
    history.merge(List.of(new VersionHistory.Served("service", "v1", 3 * second)), 9 * second);
    assertTrue(history.covers(timers.nanos() - 9 * second));
    assertFalse(history.covers(timers.nanos() - 10 * second));
    assertEquals(Set.of("v2"), servedInLast(2_999));
    assertEquals(Set.of("v1", "v2"), servedInLast(3_000));
  }

  @Test
  void partOfTheHistoryOfPeerExtendsNoCoverage() {
    long second = Clock.NANOS_PER_SECOND;
    history.merge(List.of(new VersionHistory.Served("service", "v1", -second)), 0);
    assertFalse(history.covers(timers.nanos() - 1));
    assertEquals(Set.of("v1"), servedInLast(0));
  }

  @Test
  void historyReportedBeforeTheFirstReadCountsOnlyIfThatFollowsSoon() {
    long second = Clock.NANOS_PER_SECOND;
    for (long wait : List.of(5_000L, 11_000L)) {
      VersionHistory h = new VersionHistory(timers);
      h.merge(List.of(), 60 * second);
      assertFalse(h.covers(timers.nanos()));
      timers.advanceMillis(wait);
      h.startWatching();
      assertEquals(wait == 5_000, h.covers(timers.nanos() - 30 * second));
    }
  }

  @Test
  void servingVersionsAreReportedAsServingOn() {
    directory.put(server("a", "v1", 1));
    VersionHistory other = new VersionHistory(timers);
    other.merge(history.served(false), history.watchedNanos());
    timers.advanceMillis(VersionHistory.SERVES_AFTER_REMOVAL_MILLIS);
    assertEquals(Set.of("v1"), other.servedSince("service", timers.nanos()));
  }

  // Guards against joining the histories of two peers over an unobserved interval.
  @Test
  void historiesOfPeersWithGapBetweenThemAreNotJoined() {
    VersionHistory h = new VersionHistory(timers);
    long second = Clock.NANOS_PER_SECOND;
    h.merge(List.of(), 100 * second);
    timers.advanceMillis(9_000);
    h.merge(List.of(), second);
    h.startWatching();
    assertFalse(h.covers(timers.nanos() - 5 * second));
    assertTrue(h.covers(timers.nanos() - second));
  }

  // Guards against a gap after an outage that counts as covered.
  @Test
  void historyBeginsAnewWhenChangesMayHaveBeenMissed() {
    timers.advanceMillis(60_000);
    long second = Clock.NANOS_PER_SECOND;
    history.recordRemoved(List.of(), 20 * second);
    assertTrue(history.covers(timers.nanos() - second));
    assertTrue(history.knowsRemovalsSince(timers.nanos() - second));
    history.recordMissedChanges();
    assertFalse(history.covers(timers.nanos() - 1));
    assertFalse(history.knowsRemovalsSince(timers.nanos() - 1));
    assertTrue(history.covers(timers.nanos()));
  }
}
