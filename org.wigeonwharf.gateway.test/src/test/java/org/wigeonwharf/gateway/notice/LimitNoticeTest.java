package org.wigeonwharf.gateway.notice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.model.FailureDomain;

/** Guards against a limit that outlives the run which named it, or ends before it. */
class LimitNoticeTest {
  private static final long MAX_AGE_MILLIS = 60_000;

  private final VirtualTimers timers = new VirtualTimers();
  private final ServerLimits limits =
      new ServerLimits(new LimitLog(new MetricRegistry()), () -> 0, new Random(7), timers.nanos());
  private final LimitNotice notice = new LimitNotice(limits);

  private static BackendServer server(long startedAt) {
    return new BackendServer(
        "a",
        "service",
        new InetSocketAddress("127.0.0.1", 9),
        new FailureDomain("d"),
        6,
        false,
        startedAt);
  }

  private void nameLimit() {
    notice.retain(List.of(server(1)), timers.nanos());
    limits.recordAnswer("a", 2.0, timers.nanos());
  }

  private boolean isLimited() {
    return limits.isLimited("a", timers.nanos());
  }

  // Guards against a server that gets unlimited requests once its entry was missing for a moment.
  @Test
  void limitHoldsWhileTheEntryIsMissing() {
    nameLimit();
    notice.retain(List.of(), timers.nanos());
    timers.advanceMillis(5_000);
    notice.retain(List.of(server(1)), timers.nanos());
    assertTrue(isLimited());
  }

  @Test
  void limitEndsWithTheRunAlsoIfItEndedWhileTheEntryWasMissing() {
    nameLimit();
    notice.retain(List.of(server(2)), timers.nanos());
    assertFalse(isLimited());
    limits.recordAnswer("a", 2.0, timers.nanos());
    notice.retain(List.of(), timers.nanos());
    notice.retain(List.of(server(3)), timers.nanos());
    assertFalse(isLimited());
  }

  @Test
  void limitsOfServersThatHaveLeftAreDiscarded() {
    nameLimit();
    timers.advanceMillis(MAX_AGE_MILLIS);
    notice.retain(List.of(), timers.nanos());
    assertEquals(0, limits.limits(timers.nanos()).size());
    assertEquals(0, limits.demand(timers.nanos()).size());
  }
}
