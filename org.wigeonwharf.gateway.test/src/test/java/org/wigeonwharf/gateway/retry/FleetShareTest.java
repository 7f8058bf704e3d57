package org.wigeonwharf.gateway.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

/** Guards against shares that add up to more than the fleet's amount in fleets of any size. */
class FleetShareTest {
  private static final double AMOUNT = 230;

  private long now;
  private int peers;
  private final FleetShare share = new FleetShare(() -> now, () -> peers);

  @Test
  void sharesOfLargeFleetAddUpToNoMoreThanTheAmountEvenAfterOneRestart() {
    now = 5 * Clock.NANOS_PER_SECOND;
    for (int routers = 1; routers <= 1_000; routers++) {
      peers = routers - 1;
      assertTrue(2 * routers * share.of(AMOUNT) <= AMOUNT * 1.000_001, routers + " routers");
    }
  }

  @Test
  void smallFleetKeepsItsTwentiethShare() {
    now = 5 * Clock.NANOS_PER_SECOND;
    peers = 7;
    assertEquals(AMOUNT / 20, share.of(AMOUNT));
  }

  @Test
  void routerThatKnowsNoPeerYetTakesLittle() {
    assertTrue(95 * share.of(AMOUNT) <= AMOUNT / 2);
  }

  @Test
  void partitionedRouterDoesNotTakeTheSharesOfUnreachablePeers() {
    now = 5 * Clock.NANOS_PER_SECOND;
    peers = 94;
    double before = share.of(AMOUNT);
    peers = 0;
    assertEquals(before, share.of(AMOUNT));
  }
}
