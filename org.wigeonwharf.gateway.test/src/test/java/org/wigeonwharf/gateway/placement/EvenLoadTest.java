package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonwharf.gateway.placement.FleetSimulation.Engines;
import org.wigeonwharf.gateway.placement.FleetSimulation.Kind;
import org.wigeonwharf.gateway.placement.FleetSimulation.Result;

/**
 * Guards against servers that are overrun while others are idle because many routers choose alike
 * from the same outdated facts, and against prefixes that are recomputed since load is spread.
 */
class EvenLoadTest {
  private static final int SECONDS = 20;
  private static final Engines FEW_SLOTS =
      new Engines(78, 12, 514_732, 3.23, 0.0483, 112, 2_048, 1_900, new double[] {0.7, 0.7, 1.7});
  private static final Engines MANY_SLOTS =
      new Engines(42, 32, 616_901, 2.97, 0.0222, 101, 4_096, 107, new double[] {1});
  private static final List<Kind> FEW_SLOTS_KINDS =
      List.of(
          new Kind("digest", 2, 121, 1_627, 5_382, 6_610, 382, 1_519, 800),
          new Kind("extract", 0, 80.4, 937, 198, 628, 291, 308, 200),
          new Kind("tag", 1, 198, 1_532, 568, 1_800, 23, 410, 300));
  private static final List<Kind> CROWDED_KINDS =
      List.of(
          new Kind("review", 2, 142, 463, 5_382, 6_610, 382, 1_519, 1_000),
          new Kind("chat", 0, 173, 1_659, 198, 628, 291, 608, 250),
          new Kind("summary", 1, 195, 1_250, 568, 1_800, 23, 1_510, 400));

  private static FleetSimulation fleet(Engines engines, int routers, long seed) {
    return new FleetSimulation(
        engines,
        routers,
        seed,
        r ->
            new ServerChooser(
                r.domain,
                r.inFlight,
                r.prefixCaches,
                ServerPenalties.DEFAULT,
                r.notices,
                r.random,
                new PlacementMetrics(new MetricRegistry())));
  }

  private static void assertLateAtMost(double share, Result r) {
    r.lateShares().forEach((kind, late) -> assertTrue(late <= share, kind + " " + late));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void serversWithFewSlotsAreNotOverrunWhileOthersAreIdle(long seed) {
    Result r = fleet(FEW_SLOTS, 89, seed).run(FEW_SLOTS_KINDS, SECONDS);
    assertTrue(r.overrunShare() <= 0.3, r.toString());
    assertLateAtMost(0.02, r);
    assertEquals(0, r.held());
    assertTrue(r.rereadTokens() <= 0.035 * r.prefilledTokens(), r.toString());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void crowdedServersAreNotOverrunWhileOthersAreIdle(long seed) {
    Result r = fleet(MANY_SLOTS, 76, seed).run(CROWDED_KINDS, SECONDS);
    assertTrue(r.overrunShare() <= 0.25, r.toString());
    assertLateAtMost(0.03, r);
    assertTrue(r.rereadTokens() <= 0.16 * r.prefilledTokens(), r.toString());
  }

  @Test
  void fleetWithoutReportsStillSpreadsItsStreams() {
    FleetSimulation fleet = fleet(FEW_SLOTS, 89, 1);
    fleet.dropReports();
    Result r = fleet.run(FEW_SLOTS_KINDS, SECONDS);
    assertTrue(r.lateShares().get("extract") <= 0.2, r.toString());
    assertTrue(r.waitingShare() <= 0.45, r.toString());
    assertEquals(0, r.held());
  }
}
