package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.config.AccountLimits;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;

/** Client accounts are held to their limits, and a raised limit is in force at once. */
class AccountLimitsTest {
  private static final AccountId ACCOUNT = new AccountId("a0");
  private static final AccountId OTHER = new AccountId("a1");
  private static final ClassId CLASS = new ClassId("c0");
  private static final int SLOTS = 1_000;

  private static SchedulerWorld world(long seed, AccountLimits limits) {
    SchedulerWorld world = new SchedulerWorld(seed, PolicyOptions.DEFAULT);
    world.config.classOf("c0", 0, 60_000, 600_000, 0, 5).server("s0", SLOTS, false);
    world.config.account("a0", 1, limits).account("a1", 1, ConfigBuilder.UNLIMITED);
    world.configure();
    return world;
  }

  private static AccountLimits rate(double requests, double tokens) {
    return new AccountLimits(requests, tokens, SLOTS);
  }

  private static int grants(SchedulerWorld world) {
    return world.grants.getOrDefault(CLASS, 0);
  }

  @Property(tries = 60, seed = "41")
  void startsStayWithinRateAndBurst(@ForAll long seed) {
    SchedulerWorld world = world(seed, rate(1, AccountLimits.MAX_RATE));
    double rate = 1 + world.random.nextInt(20);
    world.config.account("a0", 1, rate(rate, AccountLimits.MAX_RATE));
    world.configure();
    for (int i = 0; i < 300; i++) {
      world.request(CLASS, ACCOUNT);
      world.now += world.random.nextInt(100) * Clock.NANOS_PER_MILLI;
      world.check(world.scheduler.tick(), null);
      double most = rate * world.now / Clock.NANOS_PER_SECOND + rate + 1;
      assertTrue(grants(world) <= most, () -> grants(world) + " starts, at most " + most);
      assertTrue(
          grants(world) >= Math.min(i, most - rate - 3), () -> grants(world) + " of " + most);
    }
  }

  @Property(tries = 60, seed = "42")
  void tokensStayWithinRateBurstAndOneAnswer(@ForAll long seed) {
    double rate = 100;
    SchedulerWorld world = world(seed, rate(AccountLimits.MAX_RATE, rate));
    int longest = 400;
    long generated = 0;
    for (int i = 0; i < 300; i++) {
      if (world.running.isEmpty()) {
        world.request(CLASS, ACCOUNT);
      }
      for (RequestId id : List.copyOf(world.running.keySet())) {
        int tokens = 1 + world.random.nextInt(longest);
        generated += tokens;
        world.end(id, LeaseEnd.FINISHED, tokens);
      }
      double most = rate * world.now / Clock.NANOS_PER_SECOND + rate + 2 * longest;
      assertTrue(generated <= most, generated + " tokens, at most " + most);
      world.now += world.random.nextInt(2_000) * Clock.NANOS_PER_MILLI;
      world.check(world.scheduler.tick(), null);
    }
  }

  @Test
  void concurrencyIsRefusedUnderItsOwnName() {
    SchedulerWorld world = world(1, new AccountLimits(1_000, AccountLimits.MAX_RATE, 2));
    for (int i = 0; i < 3; i++) {
      world.request(CLASS, ACCOUNT);
    }
    world.request(CLASS, OTHER);
    assertEquals(3, grants(world));
    Decision.Refusal r = (Decision.Refusal) world.log.get(2);
    assertEquals(RefusalReason.ACCOUNT_LIMIT, r.reason());
  }

  @Test
  void raisedLimitStartsWaitersAtOnce() {
    SchedulerWorld world = world(1, rate(2, AccountLimits.MAX_RATE));
    for (int i = 0; i < 10; i++) {
      world.request(CLASS, ACCOUNT);
    }
    assertEquals(2, grants(world));
    world.config.account("a0", 1, rate(20, AccountLimits.MAX_RATE));
    world.configure();
    assertEquals(10, grants(world));
  }

  @Test
  void partOfLimitGrowsWithThePublishedLimit() {
    SchedulerWorld world = world(1, rate(4, AccountLimits.MAX_RATE));
    Map<AccountId, AccountLimits> parts = Map.of(ACCOUNT, rate(1, AccountLimits.MAX_RATE));
    world.check(world.scheduler.setLimits(parts), null);
    for (int i = 0; i < 20; i++) {
      world.request(CLASS, ACCOUNT);
    }
    assertEquals(1, grants(world));
    world.config.account("a0", 1, rate(40, AccountLimits.MAX_RATE));
    world.configure();
    assertEquals(10, grants(world));
  }

  @Test
  void limitedAccountDoesNotHoldUpOthers() {
    SchedulerWorld world = world(1, rate(1, AccountLimits.MAX_RATE));
    for (int i = 0; i < 5; i++) {
      world.request(CLASS, ACCOUNT);
    }
    world.request(CLASS, OTHER);
    assertEquals(2, grants(world));
  }
}
