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

/** Within a tier the account with the least weighted use goes first, then the least slack. */
class DispatchOrderTest {
  private static final ClassId CLASS = new ClassId("c0");

  private static SchedulerWorld world(long seed) {
    SchedulerWorld world = new SchedulerWorld(seed, PolicyOptions.DEFAULT);
    world.config.classOf("c0", 0, 600_000, 6_000_000, 0, 5).server("s0", 1, false);
    return world;
  }

  private static RequestId endRunning(SchedulerWorld world) {
    RequestId id = world.running.keySet().iterator().next();
    world.end(id, LeaseEnd.RETURNED, 0);
    return id;
  }

  @Property(tries = 50, seed = "61")
  void accountsShareByWeightHoweverMuchEachAsks(@ForAll long seed) {
    SchedulerWorld world = world(seed);
    double sum = 0;
    double[] weights = new double[4];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = 1 + world.random.nextInt(5);
      sum += weights[i];
      world.config.account("a" + i, weights[i], ConfigBuilder.UNLIMITED);
    }
    world.configure();
    for (int i = 0; i < weights.length; i++) {
      for (int n = 0; n < 100 + world.random.nextInt(50); n++) {
        world.request(CLASS, new AccountId("a" + i));
      }
    }
    Map<AccountId, Integer> got = new HashMap<>();
    int turns = 100;
    for (int i = 0; i < turns; i++) {
      got.merge(world.known.get(endRunning(world)).account(), 1, Integer::sum);
    }
    for (int i = 0; i < weights.length; i++) {
      double share = turns * weights[i] / sum;
      int had = got.getOrDefault(new AccountId("a" + i), 0);
      assertTrue(Math.abs(had - share) <= weights.length, had + " turns, its share is " + share);
    }
  }

  @Test
  void workThatCanStillMeetItsTargetGoesBeforeWorkThatCannot() {
    SchedulerWorld world = world(1);
    world.config.classOf("c0", 0, 1_000, 60_000, 0, 5);
    world.config.account("a0", 1, ConfigBuilder.UNLIMITED);
    world.config.account("a1", 9, ConfigBuilder.UNLIMITED);
    world.configure();
    AccountId account = new AccountId("a0");
    world.request(CLASS, account);
    final RequestId late = world.request(CLASS, new AccountId("a1"));
    world.now += 1_500 * Clock.NANOS_PER_MILLI;
    RequestId fresh = world.request(CLASS, account);
    endRunning(world);
    assertEquals(fresh, world.running.keySet().iterator().next());
    endRunning(world);
    assertEquals(late, world.running.keySet().iterator().next());
  }
}
