package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.model.Clock;

/** Every decision of a scheduler keeps the promises, whatever happens in whatever order. */
class SchedulerInvariantsTest {
  private static final int STEPS = 300;

  /** All parts on but those that may leave a slot free for other work. */
  private static final PolicyOptions CONSERVING =
      new PolicyOptions(true, true, true, true, 0, true, false, true, false);

  @Property(tries = 150, seed = "11")
  void everyDecisionKeepsThePromises(@ForAll long seed) {
    SchedulerWorld world = new SchedulerWorld(seed, PolicyOptions.DEFAULT);
    world.randomConfig();
    world.configure();
    for (int i = 0; i < STEPS; i++) {
      world.step();
      if (i % 3 == 0) {
        world.obeyPreemptions();
      }
    }
  }

  @Property(tries = 150, seed = "12")
  void nobodyWaitsWhileSlotIsFree(@ForAll long seed) {
    SchedulerWorld world = new SchedulerWorld(seed, CONSERVING);
    world.randomConfig();
    world.configure();
    for (int i = 0; i < STEPS; i++) {
      world.step();
      assertTrue(
          world.waiting.isEmpty() || world.freeSlots() == 0,
          () -> world.waiting.size() + " wait, " + world.freeSlots() + " slots are free");
    }
  }

  @Property(tries = 100, seed = "13")
  void everyWaiterIsDecidedOnInTheEnd(@ForAll long seed) {
    SchedulerWorld world = new SchedulerWorld(seed, PolicyOptions.DEFAULT);
    world.randomConfig();
    world.configure();
    for (int i = 0; i < STEPS; i++) {
      world.step();
    }
    world.now += 3_600 * Clock.NANOS_PER_SECOND;
    world.check(world.scheduler.tick(), null);
    assertEquals(0, world.scheduler.waiting());
    assertTrue(world.waiting.isEmpty());
  }
}
