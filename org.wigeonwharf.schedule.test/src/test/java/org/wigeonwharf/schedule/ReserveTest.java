package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;

/**
 * No class starves: of the slot time granted while it waits, each class gets its configured share.
 */
class ReserveTest {
  private static final int GRANTS = 3_000;
  private static final long SHORT_MILLIS = 50 * LengthEstimates.MAX_INITIAL_GAP_MILLIS;
  private static final long LONG_MILLIS = 1_000 * LengthEstimates.MAX_INITIAL_GAP_MILLIS;
  private static final int ALWAYS_WAITING = 3;
  private static final AccountId ACCOUNT = new AccountId("a0");

  @Property(tries = 60, seed = "21")
  void eachWaitingClassGetsItsShareOfSlotTime(@ForAll long seed) {
    SchedulerWorld world = new SchedulerWorld(seed, PolicyOptions.DEFAULT);
    checkShares(world, 6);
  }

  private static void checkShares(SchedulerWorld world, int most) {
    int classes = 2 + world.random.nextInt(most - 1);
    for (int i = 0; i < classes; i++) {
      double share = world.random.nextDouble() * 0.9 / classes;
      world.config.classOf("c" + i, i, 1_000_000, 1_000_000, share, ALWAYS_WAITING);
    }
    world.config.account("a0", 1, ConfigBuilder.UNLIMITED).server("s0", 4, false);
    world.configure();
    for (int i = 0; i < GRANTS; i++) {
      keepAllWaiting(world);
      world.end(world.anyOf(world.running.keySet()), LeaseEnd.RETURNED, 0);
    }
    double granted = world.config.classes.values().stream().mapToDouble(c -> cost(world, c)).sum();
    for (ClassSpec c : world.config.classes.values()) {
      double least = c.share() * granted - (classes + 1) * LONG_MILLIS;
      double got = cost(world, c);
      assertTrue(got >= least, () -> c.id() + " got " + got + " ms, least " + least);
    }
  }

  private static double cost(SchedulerWorld world, ClassSpec c) {
    long each = c.tier().rank() == 0 ? SHORT_MILLIS : LONG_MILLIS;
    return each * (double) world.grants.getOrDefault(c.id(), 0);
  }

  private static void keepAllWaiting(SchedulerWorld world) {
    for (ClassSpec c : world.config.classes.values()) {
      while (world.waitingOf(c.id()) < ALWAYS_WAITING) {
        world.request(c.id(), ACCOUNT);
      }
    }
  }
}
