package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeAttempt;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.notice.ServerStatement;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against requests to servers that state in their answers that they are about to stop, or
 * that they want no more requests for a time.
 */
class ServerNoticesTest {
  private final ExchangeFixture fixture = new ExchangeFixture();

  private static BackendServer run(String id, long startedAt) {
    return new BackendServer(
        id,
        ExchangeFixture.SERVICE,
        new InetSocketAddress("127.0.0.1", 9),
        new FailureDomain("here"),
        6,
        false,
        startedAt);
  }

  private FakeCaller begin() {
    FakeCaller caller = new FakeCaller();
    fixture.begin(RequestKind.UNREPEATABLE, caller);
    return caller;
  }

  private FakeAttempt last() {
    return fixture.attempts.get(fixture.attempts.size() - 1);
  }

  private static HttpHeaders headers(String... pairs) {
    HttpHeaders h = new DefaultHttpHeaders();
    for (int i = 0; i < pairs.length; i += 2) {
      h.set(pairs[i], pairs[i + 1]);
    }
    return h;
  }

  private static void answer(FakeAttempt attempt, String... pairs) {
    attempt.listener.onHead(200, headers(pairs).set(TestProtocol.SIGNED, "1"));
    attempt.listener.onComplete();
  }

  private static void turnAway(FakeAttempt attempt, String seconds) {
    attempt.listener.onHead(503, headers(TestProtocol.NOT_RUN, "1", TestProtocol.PAUSE, seconds));
  }

  /** Sends requests and answers each at once; returns the ids of their servers. */
  private List<String> serve(int n) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      begin();
      ids.add(last().server.id());
      answer(last());
    }
    return ids;
  }

  private void retain() {
    fixture.notices.retain(fixture.directory.all(), fixture.timers.nanos());
  }

  @Test
  void serverThatAnswersThatItIsColdGetsUrgentRequestsOnlyIfNoOtherIsLeft() {
    fixture.coldStart = new ColdStart(3, 5);
    fixture.addServers(2);
    begin();
    String cold = last().server.id();
    answer(last(), TestProtocol.COLD, "3000");
    assertTrue(serve(20).stream().noneMatch(cold::equals));
    String warm = last().server.id();
    fixture.directory.withdraw(warm, fixture.timers.nanos());
    fixture.timers.advanceMillis(1_000);
    assertEquals(List.of(cold), serve(1));
    // At five requests a second, the second one has to wait.
    int before = fixture.attempts.size();
    begin();
    assertEquals(before, fixture.attempts.size());
    fixture.timers.advanceMillis(300);
    assertEquals(before + 1, fixture.attempts.size());
  }

  @Test
  void coldTimeInAnswerOfMisdirectedRequestIsIgnored() {
    fixture.coldStart = new ColdStart(3, 5);
    fixture.addServers(2);
    begin();
    last().listener.onHead(421, headers(TestProtocol.COLD, "3000"));
    long now = fixture.timers.nanos();
    assertEquals(0, fixture.notices.coldCount(fixture.directory.all(), now));
  }

  @Test
  void leavingServerGetsNoRequestWhateverComesLater() {
    fixture.addServers(2);
    begin();
    begin();
    String leaving = fixture.attempt(0).server.id();
    answer(fixture.attempt(0), TestProtocol.LEAVING, "1");
    // An answer from before, which arrives late, and an entry that still says ready.
    answer(fixture.attempt(1));
    fixture.directory.put(ExchangeFixture.server(leaving, false));
    retain();
    assertTrue(serve(20).stream().noneMatch(leaving::equals));
    fixture.directory.withdraw(leaving, fixture.timers.nanos());
    retain();
    fixture.directory.put(ExchangeFixture.server(leaving, false));
    retain();
    assertTrue(serve(20).stream().noneMatch(leaving::equals), "published again in the same run");
  }

  @Test
  void laterRunUnderTheSameIdStartsWithoutNotices() {
    fixture.directory.put(run("s1", 1));
    retain();
    begin();
    answer(last(), TestProtocol.LEAVING, "1", TestProtocol.LIMIT, "0");
    begin();
    turnAway(last(), "500");
    fixture.timers.advanceMillis(5_000);
    fixture.directory.put(run("s1", 2));
    retain();
    assertEquals(List.of("s1", "s1", "s1"), serve(3));
  }

  @Test
  void requestsAreRefusedIfAllServersAreLeavingForLong() {
    fixture.addServers(2);
    begin();
    begin();
    answer(fixture.attempt(0), TestProtocol.LEAVING, "1");
    answer(fixture.attempt(1), TestProtocol.LEAVING, "1");
    fixture.timers.advanceMillis(1_000);
    assertEquals(2, serve(2).size());
    fixture.timers.advanceMillis(1_600);
    int sends = fixture.attempts.size();
    FakeCaller caller = begin();
    fixture.timers.advanceMillis(ExchangeFixture.TIMEOUT_MILLIS);
    assertEquals(503, caller.status);
    assertEquals(sends, fixture.attempts.size());
  }

  @Test
  void pausedServerGetsNothingAndThenGraduallyMore() {
    fixture.addServers(1);
    begin();
    turnAway(last(), "0.5");
    fixture.timers.advanceMillis(480);
    assertEquals(1, fixture.attempts.size());
    List<FakeCaller> callers = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      callers.add(begin());
    }
    fixture.timers.advanceMillis(60);
    assertEquals(2, fixture.attempts.size(), "the pause is over");
    fixture.timers.advanceMillis(200);
    assertEquals(3, fixture.attempts.size());
    fixture.timers.advanceMillis(200);
    assertEquals(5, fixture.attempts.size());
    fixture.timers.advanceMillis(200);
    assertEquals(9, fixture.attempts.size());
  }

  @Test
  void longestPauseCountsAndOtherServersTakeTheRequests() {
    fixture.addServers(3);
    for (int i = 0; i < 3; i++) {
      begin();
    }
    String paused = fixture.attempt(0).server.id();
    int busy = fixture.attempts.size();
    turnAway(fixture.attempt(0), "2");
    answer(fixture.attempts.get(busy));
    for (int i = 0; i < 40; i++) {
      fixture.timers.advanceMillis(45);
      assertTrue(serve(1).stream().noneMatch(paused::equals), "after " + i);
    }
  }

  @Test
  void requestIsRefusedAtOnceIfAllServersWantLongerPauses() {
    fixture.addServers(2);
    FakeCaller first = begin();
    turnAway(last(), "30");
    turnAway(last(), "20");
    assertEquals(503, first.status);
    FakeCaller second = begin();
    assertEquals(503, second.status);
    double seconds = Double.parseDouble(second.headers.get("retry-after"));
    assertTrue(seconds > 19.9 && seconds <= 20.1, "Retry-After: " + seconds);
    assertEquals(2, fixture.attempts.size());
  }

  @Test
  void unusablePausesLoseNoServer() {
    fixture.addServers(1);
    for (String unusable : List.of("NaN", "-1", "0", "-Infinity")) {
      begin();
      turnAway(last(), unusable);
      fixture.timers.advanceMillis(3_000);
      assertEquals(1, serve(1).size());
    }
    begin();
    turnAway(last(), "1e30");
    for (int i = 0; i < 60; i++) {
      fixture.timers.advanceMillis(11_000);
    }
    assertEquals(1, serve(1).size());
  }

  @Test
  void leavingAndPauseAndLimitHoldTogether() {
    fixture.addServers(2);
    begin();
    begin();
    String leaving = fixture.attempt(0).server.id();
    String paused = fixture.attempt(1).server.id();
    assertTrue(!leaving.equals(paused), "both servers in use");
    fixture
        .attempt(0)
        .listener
        .onHead(
            503,
            headers(
                TestProtocol.NOT_RUN, "1", TestProtocol.PAUSE, "0.3", TestProtocol.LEAVING, "1"));
    answer(fixture.attempt(1));
    answer(fixture.attempt(2));
    fixture.timers.advanceMillis(2_600);
    fixture.notices.recordAnswer(
        fixture.attempt(1).server,
        new ServerStatement(false, false, 0.6, 1_000.0, null),
        fixture.timers.nanos());
    final int sends = fixture.attempts.size();
    begin();
    begin();
    fixture.timers.advanceMillis(550);
    assertEquals(sends, fixture.attempts.size(), "one is leaving, the other one paused");
    fixture.timers.advanceMillis(200);
    assertTrue(fixture.attempts.size() > sends, "the pause is over");
    assertTrue(
        fixture.attempts.subList(sends, fixture.attempts.size()).stream()
            .allMatch(a -> a.server.id().equals(paused)));
  }
}
