package org.wigeonwharf.gateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/** Guards against ends of servers that never fade, or that are reported again and again. */
class EndedServersTest {
  private final EndedServers finder = new EndedServers();
  private final EndedServers other = new EndedServers();
  private final List<EndedServer> reports = new ArrayList<>();
  private long now = Clock.NANOS_PER_SECOND;

  EndedServersTest() {
    other.onPeerReport(reports::add);
  }

  private static BackendServer server(int number) {
    return new BackendServer(
        "s" + number,
        "service",
        new InetSocketAddress("127.0.0.1", 9),
        new FailureDomain("d"),
        6,
        false,
        7);
  }

  private void advanceMillis(long millis) {
    now += millis * Clock.NANOS_PER_MILLI;
  }

  @Test
  void eachEndIsReportedOnce() {
    finder.recordEnd(server(1), false, now);
    for (int i = 0; i < 30; i++) {
      advanceMillis(20);
      other.merge(finder.recent(now), now);
      finder.merge(other.recent(now), now);
    }
    assertEquals(1, reports.size());
    assertEquals("s1", reports.get(0).id());
    assertEquals(7, reports.get(0).startedAt());
  }

  @Test
  void furtherRefusalsRenewTheReport() {
    finder.recordEnd(server(1), false, now);
    other.merge(finder.recent(now), now);
    advanceMillis(600);
    finder.recordEnd(server(1), false, now);
    other.merge(finder.recent(now), now);
    assertEquals(2, reports.size());
  }

  @Test
  void replacementIsReportedAfterRefusal() {
    finder.recordEnd(server(1), false, now);
    other.merge(finder.recent(now), now);
    advanceMillis(30);
    finder.recordEnd(server(1), true, now);
    other.merge(finder.recent(now), now);
    assertTrue(reports.get(1).replaced());
  }

  // Each hop makes an end look younger by the time of the message.
  @Test
  void endsFadeInFleetThatPassesThemOn() {
    Random random = new Random(3);
    List<EndedServers> fleet = new ArrayList<>();
    int[] count = new int[1];
    for (int i = 0; i < 30; i++) {
      EndedServers e = new EndedServers();
      e.onPeerReport(r -> count[0]++);
      fleet.add(e);
    }
    fleet.get(0).recordEnd(server(1), false, now);
    for (int step = 0; step < 4_000; step++) {
      List<EndedServer> sent = fleet.get(random.nextInt(30)).recent(now);
      advanceMillis(2);
      fleet.get(random.nextInt(30)).merge(sent, now);
    }
    assertEquals(29, count[0]);
    fleet.forEach(e -> assertTrue(e.recent(now).isEmpty()));
  }

  @Test
  void numberOfEndsIsBounded() {
    for (int i = 0; i < 500; i++) {
      finder.recordEnd(server(i), false, now);
    }
    assertTrue(finder.recent(now).size() <= 40);
  }
}
