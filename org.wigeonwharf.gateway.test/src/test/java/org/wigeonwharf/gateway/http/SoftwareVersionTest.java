package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeAttempt;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.peer.GossipFixture;
import org.wigeonwharf.gateway.route.RequestKind;

/** Guards against streams whose events are joined from servers of two software versions. */
class SoftwareVersionTest {
  private static final int STREAMS = 12;
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private final VirtualTimers timers = new VirtualTimers();
  private final Queue<Runnable> inTransit = new ArrayDeque<>();
  private Runnable tick = () -> {};
  private int ids;

  private static ExchangeFixture addServers(ExchangeFixture router, String version, int n) {
    for (int i = 1; i <= n; i++) {
      router.directory.put(ExchangeFixture.versioned(version + "-" + i, version, 1));
    }
    return router;
  }

  private ExchangeFixture router() {
    return router(new ExchangeFixture(timers));
  }

  private static ExchangeFixture router(ExchangeFixture router) {
    addServers(router, "v1", 3);
    return addServers(router, "v2", 3);
  }

  /** Leaves only the servers of one version in use. */
  private static void drainOthers(ExchangeFixture router, String version) {
    for (BackendServer s : router.directory.all()) {
      if (!s.softwareVersion().equals(version)) {
        router.directory.put(ExchangeFixture.draining(s));
      }
    }
  }

  private static FakeAttempt last(ExchangeFixture router) {
    return router.attempt(router.attempts.size() - 1);
  }

  private String nextId() {
    return "request-" + ++ids;
  }

  /** Begins a stream, whose caller loses its connection after the first event. */
  private String beginAndBreakOff(ExchangeFixture router, String id) {
    Exchange e = router.begin(RequestKind.RESUMABLE_STREAM, new FakeCaller(), TestProtocol.ID, id);
    last(router).respondHead(200, TestProtocol.SIGNED);
    last(router).respondData(EVENT);
    e.onCallerDisconnected();
    return last(router).server.softwareVersion();
  }

  private FakeCaller resume(ExchangeFixture router, String resumed) {
    return resume(router, resumed, -1);
  }

  private FakeCaller resume(ExchangeFixture router, String resumed, long remainingMillis) {
    FakeCaller caller = new FakeCaller();
    router.begin(
        RequestKind.RESUMABLE_STREAM,
        caller,
        TestProtocol.ID,
        nextId(),
        TestProtocol.LAST_EVENT_ID,
        "1",
        TestProtocol.RESUMES,
        resumed,
        TestProtocol.TIMEOUT,
        Long.toString(remainingMillis));
    return caller;
  }

  private void assertResumedAtItsVersion(ExchangeFixture first, ExchangeFixture second) {
    for (int i = 0; i < STREAMS; i++) {
      String id = nextId();
      final String version = i % 2 == 0 ? "v2" : "v1";
      drainOthers(first, version);
      beginAndBreakOff(first, id);
      router(first);
      advance(1_500);
      final int sends = second.attempts.size();
      final FakeCaller caller = resume(second, id);
      assertEquals(sends + 1, second.attempts.size());
      assertEquals(version, last(second).server.softwareVersion());
      last(second).respond(200, "id: 2\ndata: b\n\n", TestProtocol.SIGNED);
      assertTrue(caller.completed);
    }
  }

  private void advance(long millis) {
    for (int i = 0; i < millis; i++) {
      timers.advanceMillis(1);
      tick.run();
      while (!inTransit.isEmpty()) {
        inTransit.remove().run();
      }
    }
  }

  private void link(ExchangeFixture a, String domainOfA, ExchangeFixture b, String domainOfB) {
    GossipFixture[] ends = new GossipFixture[2];
    GossipFixture.Network network =
        (to, datagram) -> inTransit.add(() -> ends[to].receive(datagram));
    ends[0] = a.gossip(0, domainOfA, network);
    ends[1] = b.gossip(1, domainOfB, network);
    tick =
        () -> {
          ends[0].tick();
          ends[1].tick();
        };
    advance(4_000);
  }

  @Test
  void brokenStreamIsContinuedAtItsVersionWithinOneAnswer() {
    ExchangeFixture router = router();
    for (int i = 0; i < STREAMS; i++) {
      router.begin(RequestKind.RESUMABLE_STREAM, new FakeCaller());
      FakeAttempt begun = last(router);
      begun.respondHead(200, TestProtocol.SIGNED);
      begun.respondData(EVENT);
      begun.listener.onConnectionLost("reset");
      assertEquals(begun.server.softwareVersion(), last(router).server.softwareVersion());
      last(router).respond(200, "id: 2\n\n", TestProtocol.SIGNED);
      timers.advanceMillis(2_000);
    }
  }

  @Test
  void streamWithoutAnotherServerOfItsVersionBreaksOff() {
    ExchangeFixture router = addServers(new ExchangeFixture(timers), "v1", 1);
    FakeCaller caller = new FakeCaller();
    router.begin(RequestKind.RESUMABLE_STREAM, caller);
    router.attempt(0).respondHead(200, TestProtocol.SIGNED);
    router.attempt(0).respondData(EVENT);
    addServers(router, "v2", 3);
    router.directory.withdraw("v1-1", timers.nanos());
    router.attempt(0).listener.onConnectionLost("reset");
    timers.advanceMillis(2_000);
    assertEquals(1, router.attempts.size());
    assertTrue(caller.aborted);
    assertFalse(caller.completed);
  }

  @Test
  void streamWithoutEventIsContinuedAtAnyVersion() {
    ExchangeFixture router = addServers(new ExchangeFixture(timers), "v1", 1);
    router.begin(RequestKind.RESUMABLE_STREAM, new FakeCaller());
    router.attempt(0).respondHead(200, TestProtocol.SIGNED);
    router.attempt(0).respondData(": comment\n\n");
    addServers(router, "v2", 1);
    router.attempt(0).listener.onConnectionLost("reset");
    assertEquals("v2", last(router).server.softwareVersion());
  }

  // Guards against counting tried servers of other versions as if they were of the stream's.
  @Test
  void stalledStreamIsContinuedAtTheLastUntriedServerOfItsVersion() {
    ExchangeFixture router = addServers(new ExchangeFixture(timers), "v2", 1);
    router.begin(RequestKind.RESUMABLE_STREAM, new FakeCaller());
    addServers(router, "v1", 2);
    router.attempt(0).listener.onUnreachable("refused", true);
    router.attempt(1).respondHead(200, TestProtocol.SIGNED);
    router.attempt(1).respondData(EVENT);
    timers.advanceMillis(1_500);
    assertEquals(3, router.attempts.size());
    assertTrue(router.attempt(1).cancelled);
    assertEquals("v1", router.attempt(2).server.softwareVersion());
  }

  @Test
  void streamTakenUpByItsCallerIsContinuedAtItsVersion() {
    ExchangeFixture router = router();
    assertResumedAtItsVersion(router, router);
  }

  @Test
  void takenUpStreamIsContinuedAtItsVersionWhenTheNextServerFails() {
    ExchangeFixture router = router();
    for (int i = 0; i < STREAMS; i++) {
      String id = nextId();
      String version = beginAndBreakOff(router, id);
      resume(router, id);
      last(router).listener.onUnreachable("refused", true);
      assertEquals(version, last(router).server.softwareVersion());
      last(router).respond(200, "id: 2\n\n", TestProtocol.SIGNED);
      timers.advanceMillis(2_000);
    }
  }

  @Test
  void resumedStreamWhoseVersionIsGoneIsRefused() {
    ExchangeFixture router = addServers(new ExchangeFixture(timers), "v1", 1);
    String id = nextId();
    beginAndBreakOff(router, id);
    addServers(router, "v2", 3);
    router.directory.withdraw("v1-1", timers.nanos());
    FakeCaller caller = resume(router, id);
    timers.advanceMillis(2_000);
    assertEquals(1, router.attempts.size());
    assertEquals(503, caller.status);
    assertTrue(caller.headers.contains("retry-after"));
  }

  @Test
  void streamOfAnotherRouterIsContinuedAtItsVersion() {
    ExchangeFixture first = router();
    ExchangeFixture second = router();
    link(first, "here", second, "here");
    assertResumedAtItsVersion(first, second);
  }

  @Test
  void streamOfAnotherFailureDomainIsContinuedAtItsVersion() {
    ExchangeFixture first = router();
    ExchangeFixture second = router();
    link(first, "here", second, "there");
    assertResumedAtItsVersion(first, second);
  }

  @Test
  void streamBegunBeforeRestartOfAllRoutersIsNotContinuedBlindly() {
    String id = nextId();
    beginAndBreakOff(router(), id);
    ExchangeFixture restarted = router();
    FakeCaller caller = resume(restarted, id);
    timers.advanceMillis(1_000);
    assertTrue(restarted.attempts.isEmpty());
    assertEquals(503, caller.status);
    // Another router may know the stream's version already; waiting would only use up time.
    assertTrue(Double.parseDouble(caller.headers.get("retry-after")) <= 0.1);
  }

  @Test
  void streamBegunBeforeRestartIsNotContinuedAtServersThatStartedLater() {
    String id = nextId();
    beginAndBreakOff(addServers(new ExchangeFixture(timers), "v1", 1), id);
    ExchangeFixture restarted = new ExchangeFixture(timers);
    long startedAt = restarted.unixMillis() - 11_000;
    restarted.directory.put(ExchangeFixture.versioned("v2-1", "v2", startedAt));
    FakeCaller caller = resume(restarted, id);
    timers.advanceMillis(1_000);
    assertTrue(restarted.attempts.isEmpty());
    assertEquals(503, caller.status);
  }

  @Test
  void streamBegunBeforeRestartIsContinuedAtTheOnlyVersionThatHasServed() {
    String id = nextId();
    beginAndBreakOff(addServers(new ExchangeFixture(timers), "v1", 1), id);
    ExchangeFixture restarted = addServers(new ExchangeFixture(timers), "v1", 2);
    FakeCaller caller = resume(restarted, id);
    timers.advanceMillis(2);
    last(restarted).respond(200, "id: 2\n\n", TestProtocol.SIGNED);
    assertTrue(caller.completed);
  }

  // Guards against taking unknown removals of servers for none.
  @Test
  void streamBegunBeforeRestartIsRefusedIfTheStoreDoesNotTellWhichServersHaveLeft() {
    String id = nextId();
    beginAndBreakOff(addServers(new ExchangeFixture(timers), "v1", 1), id);
    ExchangeFixture restarted = addServers(new ExchangeFixture(timers), "v1", 2);
    restarted.removedBeforeStart = null;
    FakeCaller caller = resume(restarted, id);
    timers.advanceMillis(1_000);
    assertTrue(restarted.attempts.isEmpty());
    assertEquals(503, caller.status);
  }

  // Guards against a caller that waits longer than the route's timeout and is taken for a late one.
  @Test
  void streamOfCallerThatWaitsLongIsNotContinuedAtServersThatStartedLater() {
    String id = nextId();
    beginAndBreakOff(addServers(new ExchangeFixture(timers), "v1", 1), id);
    ExchangeFixture restarted = new ExchangeFixture(timers);
    long startedAt = restarted.unixMillis() - 20_000;
    restarted.directory.put(ExchangeFixture.versioned("v2-1", "v2", startedAt));
    timers.advanceMillis(1_100);
    FakeCaller caller = resume(restarted, id, 90_000);
    timers.advanceMillis(1_000);
    assertTrue(restarted.attempts.isEmpty());
    assertEquals(503, caller.status);
  }

  // Guards against start times that are believed though servers of another version have left.
  @Test
  void streamIsNotContinuedAtVersionThatRanBesideItsOwnBeforeAllRoutersRestarted() {
    String id = nextId();
    ExchangeFixture first = addServers(new ExchangeFixture(timers), "v1", 1);
    beginAndBreakOff(first, id);
    ExchangeFixture restarted = addServers(new ExchangeFixture(timers), "v2", 2);
    restarted.removedBeforeStart = first.directory.all();
    FakeCaller caller = resume(restarted, id);
    timers.advanceMillis(1_000);
    assertTrue(restarted.attempts.isEmpty());
    assertEquals(503, caller.status);
  }
}
