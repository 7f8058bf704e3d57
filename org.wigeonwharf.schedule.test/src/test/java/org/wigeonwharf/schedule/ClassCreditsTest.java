package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;

/**
 * Checks that no class starves: each class gets its share of the slot time granted while it waits.
 */
class ClassCreditsTest {
  private static final int GRANTS = 3_000;
  private static final long SHORT_MILLIS = 50 * AnswerEstimates.MAX_INITIAL_TOKEN_GAP_MILLIS;
  private static final long LONG_MILLIS = 1_000 * AnswerEstimates.MAX_INITIAL_TOKEN_GAP_MILLIS;
  private static final int ALWAYS_WAITING = 3;
  private static final AccountId ACCOUNT = new AccountId("a0");

  @Property(tries = 60, seed = "21")
  void eachWaitingClassGetsItsShareOfSlotTime(@ForAll long seed) {
    SchedulerSimulation simulation = new SchedulerSimulation(seed, PolicyOptions.DEFAULT);
    checkShares(simulation, 6);
  }

  private static void checkShares(SchedulerSimulation simulation, int maxClasses) {
    int classes = 2 + simulation.random.nextInt(maxClasses - 1);
    for (int i = 0; i < classes; i++) {
      double share = simulation.random.nextDouble() * 0.9 / classes;
      simulation.config.classOf("c" + i, i, 1_000_000, 1_000_000, share, ALWAYS_WAITING);
    }
    simulation.config.account("a0", 1, ConfigBuilder.UNLIMITED).server("s0", 4, false);
    simulation.configure();
    for (int i = 0; i < GRANTS; i++) {
      keepAllWaiting(simulation);
      simulation.end(simulation.anyOf(simulation.running.keySet()), LeaseEnd.RETURNED, 0);
    }
    double totalMillis =
        simulation.config.classes.values().stream()
            .mapToDouble(c -> grantedMillis(simulation, c))
            .sum();
    for (ClassSpec c : simulation.config.classes.values()) {
      double minMillis = c.share() * totalMillis - (classes + 1) * LONG_MILLIS;
      double actualMillis = grantedMillis(simulation, c);
      assertTrue(
          actualMillis >= minMillis,
          () -> c.id() + " got " + actualMillis + " ms, expected at least " + minMillis);
    }
  }

  private static double grantedMillis(SchedulerSimulation simulation, ClassSpec c) {
    long slotMillis = c.tier().rank() == 0 ? SHORT_MILLIS : LONG_MILLIS;
    return slotMillis * (double) simulation.grants.getOrDefault(c.id(), 0);
  }

  private static void keepAllWaiting(SchedulerSimulation simulation) {
    for (ClassSpec c : simulation.config.classes.values()) {
      while (simulation.waitingOf(c.id()) < ALWAYS_WAITING) {
        simulation.request(c.id(), ACCOUNT);
      }
    }
  }
}
