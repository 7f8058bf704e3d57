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
 * A long stream of a lower tier gives way to work about to miss its target, and to nothing else.
 */
class PreemptorTest {
  private static final AccountId ACCOUNT = new AccountId("a0");
  private static final ClassId URGENT = new ClassId("urgent");
  private static final ClassId LONG = new ClassId("long");
  private static final ClassId LOWEST = new ClassId("lowest");

  private static SchedulerWorld world(boolean resumable) {
    SchedulerWorld world = new SchedulerWorld(1, PolicyOptions.DEFAULT);
    world
        .config
        .classOf("urgent", 0, 800, 5_000, 0, 5)
        .classOf("long", 1, 10_000, 300_000, 0, 5)
        .classOf("lowest", 2, 1_000, 300_000, 0, 5)
        .account("a0", 1, ConfigBuilder.UNLIMITED)
        .server("s0", 4, false);
    world.config.resumable = resumable;
    world.configure();
    return world;
  }

  private static long preemptions(SchedulerWorld world) {
    return world.log.stream().filter(d -> d instanceof Decision.Preemption).count();
  }

  @Test
  void resumedStreamFinishesAfterUrgentWork() {
    SchedulerWorld world = world(true);
    final List<RequestId> streams =
        List.of(
            world.request(LONG, ACCOUNT),
            world.request(LONG, ACCOUNT),
            world.request(LONG, ACCOUNT));
    world.request(URGENT, ACCOUNT);
    assertEquals(0, preemptions(world));
    world.request(URGENT, ACCOUNT);
    assertEquals(1, preemptions(world));
    world.obeyPreemptions();
    assertEquals(2, world.grants.get(URGENT));
    for (RequestId id : List.copyOf(world.running.keySet())) {
      world.end(id, LeaseEnd.FINISHED, 50);
    }
    assertTrue(streams.stream().anyMatch(world.running::containsKey));
  }

  @Property(tries = 50, seed = "31")
  void lowerAndEqualTiersNeverPreempt(@ForAll @IntRange(min = 1, max = 20) int lower) {
    SchedulerWorld world = world(true);
    for (int i = 0; i < lower; i++) {
      world.request(LONG, ACCOUNT);
      world.request(LOWEST, ACCOUNT);
    }
    assertEquals(0, preemptions(world));
  }

  @Test
  void nothingIsPreemptedThatCannotBeResumed() {
    SchedulerWorld world = world(false);
    for (int i = 0; i < 4; i++) {
      world.request(LONG, ACCOUNT);
      world.request(URGENT, ACCOUNT);
    }
    assertEquals(0, preemptions(world));
  }
}
