package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RequestId;

/**
 * Checks the order of grants within a tier: requests that can meet their target, then the account
 * with the least weighted use, then the least slack.
 */
class DispatchOrderTest {
  private static final ClassId CLASS = new ClassId("c0");

  private static SchedulerSimulation simulation(long seed) {
    SchedulerSimulation simulation = new SchedulerSimulation(seed, PolicyOptions.DEFAULT);
    simulation.config.classOf("c0", 0, 600_000, 6_000_000, 0, 5).server("s0", 1, false);
    return simulation;
  }

  private static RequestId endRunning(SchedulerSimulation simulation) {
    RequestId id = simulation.running.keySet().iterator().next();
    simulation.end(id, LeaseEnd.RETURNED, 0);
    return id;
  }

  @Property(tries = 50, seed = "61")
  void accountsShareByWeightWhateverTheirDemand(@ForAll long seed) {
    SchedulerSimulation simulation = simulation(seed);
    double sum = 0;
    double[] weights = new double[4];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = 1 + simulation.random.nextInt(5);
      sum += weights[i];
      simulation.config.account("a" + i, weights[i], ConfigBuilder.UNLIMITED);
    }
    simulation.configure();
    for (int i = 0; i < weights.length; i++) {
      for (int n = 0; n < 100 + simulation.random.nextInt(50); n++) {
        simulation.request(CLASS, new AccountId("a" + i));
      }
    }
    Map<AccountId, Integer> grants = new HashMap<>();
    int rounds = 100;
    for (int i = 0; i < rounds; i++) {
      grants.merge(simulation.requestsById.get(endRunning(simulation)).account(), 1, Integer::sum);
    }
    for (int i = 0; i < weights.length; i++) {
      double share = rounds * weights[i] / sum;
      int granted = grants.getOrDefault(new AccountId("a" + i), 0);
      assertTrue(
          Math.abs(granted - share) <= weights.length,
          granted + " grants, expected share " + share);
    }
  }

  @Test
  void workThatCanStillMeetItsTargetGoesBeforeWorkThatCannot() {
    SchedulerSimulation simulation = simulation(1);
    simulation.config.classOf("c0", 0, 1_000, 60_000, 0, 5);
    simulation.config.account("a0", 1, ConfigBuilder.UNLIMITED);
    simulation.config.account("a1", 9, ConfigBuilder.UNLIMITED);
    simulation.configure();
    AccountId account = new AccountId("a0");
    simulation.request(CLASS, account);
    final RequestId late = simulation.request(CLASS, new AccountId("a1"));
    simulation.nowNanos += 1_500 * Clock.NANOS_PER_MILLI;
    RequestId onTime = simulation.request(CLASS, account);
    endRunning(simulation);
    assertEquals(onTime, simulation.running.keySet().iterator().next());
    endRunning(simulation);
    assertEquals(late, simulation.running.keySet().iterator().next());
  }
}
