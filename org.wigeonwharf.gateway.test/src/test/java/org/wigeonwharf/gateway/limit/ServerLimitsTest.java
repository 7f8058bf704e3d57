package org.wigeonwharf.gateway.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

/** Guards against limits that are forgotten, never end, or are shared without regard to demand. */
class ServerLimitsTest {
  private final MetricRegistry metrics = new MetricRegistry();
  private long now = Clock.NANOS_PER_SECOND;
  private final ServerLimits limits =
      new ServerLimits(new LimitLog(metrics), () -> 0, new Random(7), now);

  private void advanceMillis(long millis) {
    now += millis * Clock.NANOS_PER_MILLI;
  }

  /** Returns how many requests may be sent in a time in which they never cease to come. */
  private int sendsIn(long millis) {
    int sends = 0;
    for (long t = 0; t < millis; t += 10) {
      advanceMillis(10);
      limits.recordDemand("s", now);
      if (limits.waitMillis("s", now) <= 0) {
        limits.recordSent("s", now);
        sends++;
      }
    }
    return sends;
  }

  @Test
  void serverThatNamesNoLimitIsUnlimited() {
    limits.recordAnswer("s", null, now);
    assertEquals(0, limits.waitMillis("s", now));
    assertEquals(1_000, sendsIn(10_000));
    assertTrue(limits.limits(now).isEmpty());
  }

  // Guards against a limit that is lifted by an answer whose limit can't be read.
  @Test
  void limitHoldsOnWhileItCannotBeRead() {
    advanceMillis(5_000);
    limits.recordAnswer("s", Double.NaN, now);
    assertFalse(limits.isLimited("s", now));
    limits.recordAnswer("s", 5.0, now);
    for (int i = 0; i < 40; i++) {
      advanceMillis(2_000);
      limits.recordAnswer("s", Double.NaN, now);
      assertTrue(limits.isLimited("s", now), "lifted after " + i);
    }
    int sends = sendsIn(10_000);
    assertTrue(sends >= 40 && sends <= 60, sends + " sends, about 50");
    limits.recordAnswer("s", null, now);
    assertFalse(limits.isLimited("s", now));
  }

  @Test
  void singleRouterSendsAtTheNamedRate() {
    advanceMillis(5_000);
    limits.recordAnswer("s", 5.0, now);
    int sends = sendsIn(20_000);
    assertTrue(sends >= 90 && sends <= 110, sends + " sends, a tenth around 100");
    assertTrue(metrics.counter("limits.withheld").getCount() > 0);
  }

  @Test
  void routerSendsNothingUntilItMayKnowItsPeers() {
    limits.recordAnswer("s", 100.0, now);
    assertEquals(0, sendsIn(1_400));
    assertTrue(sendsIn(2_000) > 100);
  }

  @Test
  void shareFollowsTheDemandOfPeers() {
    advanceMillis(5_000);
    limits.recordAnswer("s", 10.0, now);
    sendsIn(4_000);
    ServerDemand own = limits.demand(now).get("s");
    ServerDemand peer = new ServerDemand(3 * own.wanted(), 7.5);
    int sends = 0;
    for (int i = 0; i < 10; i++) {
      limits.replaceDemand("peer", Map.of("s", peer), now);
      sends += sendsIn(1_000);
    }
    assertTrue(sends >= 20 && sends <= 32, sends + " sends, a quarter of 100");
    limits.removeDemand("peer");
    assertTrue(sendsIn(2_000) >= 18);
  }

  @Test
  void silentPeerNoLongerCounts() {
    advanceMillis(5_000);
    limits.recordAnswer("s", 10.0, now);
    limits.replaceDemand("peer", Map.of("s", new ServerDemand(1_000, 10)), now);
    assertTrue(sendsIn(1_500) <= 1);
    assertTrue(sendsIn(3_000) >= 27);
  }

  @Test
  void newerWordOfTheServerWins() {
    limits.recordAnswer("s", 5.0, now);
    advanceMillis(1_000);
    limits.merge(Map.of("s", new NamedLimit(7, 2_000 * Clock.NANOS_PER_MILLI)), now);
    assertEquals(5.0, limits.limits(now).get("s").perSecond());
    limits.merge(Map.of("s", new NamedLimit(NamedLimit.NONE, 0)), now);
    assertFalse(limits.isLimited("s", now));
    limits.merge(Map.of("s", new NamedLimit(5, 1_000 * Clock.NANOS_PER_MILLI)), now);
    assertFalse(limits.isLimited("s", now));
  }

  @Test
  void limitOfZeroIsTriedNowAndThen() {
    advanceMillis(5_000);
    limits.recordAnswer("s", 0.0, now);
    int sends = sendsIn(40_000);
    assertTrue(sends >= 5 && sends <= 15, sends + " sends");
  }

  @Test
  void limitExpiresAndUnknownServersAreForgottenWithIt() {
    limits.recordAnswer("missing", 5.0, now);
    advanceMillis(1_000);
    limits.recordAnswer("s", 5.0, now);
    advanceMillis(58_999);
    limits.retainServers(Set.of("s"), now);
    assertEquals(Set.of("s", "missing"), limits.limits(now).keySet());
    advanceMillis(1);
    limits.retainServers(Set.of("s"), now);
    assertEquals(Set.of("s"), limits.limits(now).keySet());
    advanceMillis(1_000);
    assertFalse(limits.isLimited("s", now));
    assertTrue(limits.limits(now).isEmpty());
  }
}
