package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.RequestId;

/**
 * Checks that a long stream of a lower tier is preempted only for work about to miss its target.
 */
class PreemptorTest {
  private static final AccountId ACCOUNT = new AccountId("a0");
  private static final ClassId URGENT = new ClassId("urgent");
  private static final ClassId LONG = new ClassId("long");
  private static final ClassId LOWEST = new ClassId("lowest");

  private static SchedulerSimulation simulation(boolean resumable) {
    SchedulerSimulation simulation = new SchedulerSimulation(1, PolicyOptions.DEFAULT);
    simulation
        .config
        .classOf("urgent", 0, 800, 5_000, 0, 5)
        .classOf("long", 1, 10_000, 300_000, 0, 5)
        .classOf("lowest", 2, 1_000, 300_000, 0, 5)
        .account("a0", 1, ConfigBuilder.UNLIMITED)
        .server("s0", 4, false);
    simulation.config.resumable = resumable;
    simulation.configure();
    return simulation;
  }

  private static long preemptions(SchedulerSimulation simulation) {
    return simulation.decisionLog.stream().filter(d -> d instanceof Decision.Preemption).count();
  }

  @Test
  void resumedStreamFinishesAfterUrgentWork() {
    SchedulerSimulation simulation = simulation(true);
    final List<RequestId> streams =
        List.of(
            simulation.request(LONG, ACCOUNT),
            simulation.request(LONG, ACCOUNT),
            simulation.request(LONG, ACCOUNT));
    simulation.request(URGENT, ACCOUNT);
    assertEquals(0, preemptions(simulation));
    simulation.request(URGENT, ACCOUNT);
    assertEquals(1, preemptions(simulation));
    simulation.applyPreemptions();
    assertEquals(2, simulation.grants.get(URGENT));
    for (RequestId id : List.copyOf(simulation.running.keySet())) {
      simulation.end(id, LeaseEnd.FINISHED, 50);
    }
    assertTrue(streams.stream().anyMatch(simulation.running::containsKey));
  }

  @Property(tries = 50, seed = "31")
  void lowerAndEqualTiersNeverPreempt(@ForAll @IntRange(min = 1, max = 20) int lower) {
    SchedulerSimulation simulation = simulation(true);
    for (int i = 0; i < lower; i++) {
      simulation.request(LONG, ACCOUNT);
      simulation.request(LOWEST, ACCOUNT);
    }
    assertEquals(0, preemptions(simulation));
  }

  @Test
  void streamsThatCannotBeResumedAreNotPreempted() {
    SchedulerSimulation simulation = simulation(false);
    for (int i = 0; i < 4; i++) {
      simulation.request(LONG, ACCOUNT);
      simulation.request(URGENT, ACCOUNT);
    }
    assertEquals(0, preemptions(simulation));
  }
}
