package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeAttempt;
import org.wigeonwharf.gateway.http.ExchangeFixture.FakeCaller;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Checks two rules over random orders of answers, requests, restarts and times: no request that
 * arrived later than the drain time after a server has stated that it leaves reaches it, and at
 * most two reach a server between half a second after it has named a pause and the end of that
 * pause.
 */
class ServerNoticeRulesTest {
  private static final long DRAIN_NANOS = 2_500 * Clock.NANOS_PER_MILLI;
  private static final long REACTION_NANOS = 500 * Clock.NANOS_PER_MILLI;
  private static final int MAX_SENDS_IN_PAUSE = 2;
  private static final int SERVERS = 4;

  private record Run(String id, long startedAt) {}

  private record Pause(Run run, long from, long to) {}

  /** One fleet of servers behind a router, and what it has stated and received. */
  private static final class Play {
    private final Random random;
    private final ExchangeFixture fixture = new ExchangeFixture();
    private final Map<Run, Long> leavingSince = new HashMap<>();
    private final List<Pause> pauses = new ArrayList<>();
    private final Map<Run, List<Long>> sends = new HashMap<>();
    private final List<FakeAttempt> open = new ArrayList<>();
    private int leavings;

    Play(long seed) {
      random = new Random(seed);
      fixture.onAttempt = this::onSent;
      for (int i = 0; i < SERVERS; i++) {
        publish(i, 1);
      }
    }

    private void publish(int number, long startedAt) {
      fixture.directory.put(
          new BackendServer(
              "s" + number,
              ExchangeFixture.SERVICE,
              new InetSocketAddress("127.0.0.1", 9),
              new FailureDomain("here"),
              6,
              false,
              startedAt));
      retain();
    }

    private void retain() {
      fixture.notices.retain(fixture.directory.all(), fixture.timers.nanos());
      fixture.exchanges.retryHeld();
    }

    private static Run run(FakeAttempt a) {
      return new Run(a.server.id(), a.server.startedAt());
    }

    private void onSent(FakeAttempt a) {
      long now = fixture.timers.nanos();
      long arrivedAt = Long.parseLong(a.request.headers().get(TestProtocol.ID));
      Long since = leavingSince.get(run(a));
      assertTrue(
          since == null || arrivedAt - since <= DRAIN_NANOS,
          () -> "sent to leaving " + run(a) + " after " + (arrivedAt - since));
      sends.computeIfAbsent(run(a), r -> new ArrayList<>()).add(now);
      open.add(a);
    }

    private void answer(FakeAttempt a) {
      HttpHeaders h = new DefaultHttpHeaders();
      final long now = fixture.timers.nanos();
      boolean away = random.nextInt(3) == 0;
      if (random.nextInt(6) == 0) {
        h.set(TestProtocol.LEAVING, "1");
        leavingSince.putIfAbsent(run(a), now);
        leavings++;
      }
      if (random.nextInt(5) == 0) {
        h.set(TestProtocol.LIMIT, String.valueOf(random.nextInt(50)));
      }
      if (!away) {
        h.set(TestProtocol.SIGNED, "1");
        a.listener.onHead(200, h);
        a.listener.onComplete();
        return;
      }
      h.set(TestProtocol.NOT_RUN, "1");
      if (random.nextBoolean()) {
        double seconds = random.nextInt(4_000) / 1_000.0;
        h.set(TestProtocol.PAUSE, String.valueOf(seconds));
        long to = now + (long) (seconds * Clock.NANOS_PER_SECOND);
        pauses.add(new Pause(run(a), now + REACTION_NANOS, to));
      }
      a.listener.onHead(503, h);
    }

    private void step() {
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> {
          RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
          String arrivedAt = String.valueOf(fixture.timers.nanos());
          fixture.begin(kind, new FakeCaller(), TestProtocol.ID, arrivedAt);
        }
        case 3, 4, 5 -> {
          if (!open.isEmpty()) {
            FakeAttempt a = open.remove(random.nextInt(open.size()));
            if (!a.cancelled) {
              answer(a);
            }
          }
        }
        case 6 -> fixture.timers.advanceMillis(random.nextInt(300));
        default -> {
          int number = random.nextInt(SERVERS);
          BackendServer s = fixture.directory.find("s" + number);
          if (random.nextInt(6) == 0) {
            publish(number, s == null ? random.nextInt(3) : s.startedAt() + 1);
          } else if (s != null && random.nextInt(6) == 0) {
            fixture.directory.withdraw(s.id(), fixture.timers.nanos());
            retain();
            publish(number, s.startedAt());
          }
        }
      }
    }

    private void check() {
      for (Pause p : pauses) {
        long reached = sends.get(p.run).stream().filter(t -> t > p.from && t < p.to).count();
        assertTrue(reached <= MAX_SENDS_IN_PAUSE, reached + " sent to " + p);
      }
    }
  }

  @Property(tries = 300, seed = "20261205")
  void noRequestReachesServersThatWantNone(@ForAll long seed) {
    Play play = new Play(seed);
    for (int i = 0; i < 600; i++) {
      play.step();
    }
    play.check();
    assertTrue(play.leavings > 0 && !play.pauses.isEmpty() && play.sends.size() > 1);
  }
}
