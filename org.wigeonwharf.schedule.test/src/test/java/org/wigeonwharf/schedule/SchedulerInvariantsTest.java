package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.model.Clock;

/** Checks the invariants of scheduler decisions under random sequences of events. */
class SchedulerInvariantsTest {
  private static final int STEPS = 300;

  /** All parts on except those that may leave a slot free while requests wait. */
  private static final PolicyOptions WORK_CONSERVING =
      new PolicyOptions(true, true, true, true, 0, true, false, true, false);

  @Property(tries = 150, seed = "11")
  void everyDecisionKeepsTheInvariants(@ForAll long seed) {
    SchedulerSimulation simulation = new SchedulerSimulation(seed, PolicyOptions.DEFAULT);
    simulation.randomConfig();
    simulation.configure();
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
      if (i % 3 == 0) {
        simulation.applyPreemptions();
      }
    }
  }

  @Property(tries = 150, seed = "12")
  void noRequestWaitsWhileSlotIsFree(@ForAll long seed) {
    SchedulerSimulation simulation = new SchedulerSimulation(seed, WORK_CONSERVING);
    simulation.randomConfig();
    simulation.configure();
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
      assertTrue(
          simulation.waiting.isEmpty() || simulation.freeSlots() == 0,
          () ->
              simulation.waiting.size()
                  + " requests wait while "
                  + simulation.freeSlots()
                  + " slots are free");
    }
  }

  @Property(tries = 100, seed = "13")
  void everyWaitingRequestIsEventuallyDecided(@ForAll long seed) {
    SchedulerSimulation simulation = new SchedulerSimulation(seed, PolicyOptions.DEFAULT);
    simulation.randomConfig();
    simulation.configure();
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    simulation.nowNanos += 3_600 * Clock.NANOS_PER_SECOND;
    simulation.check(simulation.scheduler.tick(), null);
    assertEquals(0, simulation.scheduler.waiting());
    assertTrue(simulation.waiting.isEmpty());
  }
}
