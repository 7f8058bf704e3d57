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

/** Checks that client accounts stay within their limits and that a raised limit applies at once. */
class AccountLimitsTest {
  private static final AccountId ACCOUNT = new AccountId("a0");
  private static final AccountId OTHER = new AccountId("a1");
  private static final ClassId CLASS = new ClassId("c0");
  private static final int SLOTS = 1_000;

  private static SchedulerSimulation simulation(long seed, AccountLimits limits) {
    SchedulerSimulation simulation = new SchedulerSimulation(seed, PolicyOptions.DEFAULT);
    simulation.config.classOf("c0", 0, 60_000, 600_000, 0, 5).server("s0", SLOTS, false);
    simulation.config.account("a0", 1, limits).account("a1", 1, ConfigBuilder.UNLIMITED);
    simulation.configure();
    return simulation;
  }

  private static AccountLimits rate(double requests, double tokens) {
    return new AccountLimits(requests, tokens, SLOTS);
  }

  private static int grants(SchedulerSimulation simulation) {
    return simulation.grants.getOrDefault(CLASS, 0);
  }

  @Property(tries = 60, seed = "41")
  void startsStayWithinRateAndBurst(@ForAll long seed) {
    SchedulerSimulation simulation = simulation(seed, rate(1, AccountLimits.MAX_RATE));
    double rate = 1 + simulation.random.nextInt(20);
    simulation.config.account("a0", 1, rate(rate, AccountLimits.MAX_RATE));
    simulation.configure();
    for (int i = 0; i < 300; i++) {
      simulation.request(CLASS, ACCOUNT);
      simulation.nowNanos += simulation.random.nextInt(100) * Clock.NANOS_PER_MILLI;
      simulation.check(simulation.scheduler.tick(), null);
      double maxStarts = rate * simulation.nowNanos / Clock.NANOS_PER_SECOND + rate + 1;
      assertTrue(
          grants(simulation) <= maxStarts,
          () -> grants(simulation) + " starts, expected at most " + maxStarts);
      assertTrue(
          grants(simulation) >= Math.min(i, maxStarts - rate - 3),
          () -> grants(simulation) + " starts, too few of the allowed " + maxStarts);
    }
  }

  @Property(tries = 60, seed = "42")
  void tokensStayWithinRateBurstAndOneAnswer(@ForAll long seed) {
    double rate = 100;
    SchedulerSimulation simulation = simulation(seed, rate(AccountLimits.MAX_RATE, rate));
    int maxAnswerTokens = 400;
    long generated = 0;
    for (int i = 0; i < 300; i++) {
      if (simulation.running.isEmpty()) {
        simulation.request(CLASS, ACCOUNT);
      }
      for (RequestId id : List.copyOf(simulation.running.keySet())) {
        int tokens = 1 + simulation.random.nextInt(maxAnswerTokens);
        generated += tokens;
        simulation.end(id, LeaseEnd.FINISHED, tokens);
      }
      double maxTokens =
          rate * simulation.nowNanos / Clock.NANOS_PER_SECOND + rate + 2 * maxAnswerTokens;
      assertTrue(generated <= maxTokens, generated + " tokens, expected at most " + maxTokens);
      simulation.nowNanos += simulation.random.nextInt(2_000) * Clock.NANOS_PER_MILLI;
      simulation.check(simulation.scheduler.tick(), null);
    }
  }

  @Test
  void requestOverConcurrencyLimitIsRefusedWithAccountLimit() {
    SchedulerSimulation simulation =
        simulation(1, new AccountLimits(1_000, AccountLimits.MAX_RATE, 2));
    for (int i = 0; i < 3; i++) {
      simulation.request(CLASS, ACCOUNT);
    }
    simulation.request(CLASS, OTHER);
    assertEquals(3, grants(simulation));
    Decision.Refusal r = (Decision.Refusal) simulation.decisionLog.get(2);
    assertEquals(RefusalReason.ACCOUNT_LIMIT, r.reason());
  }

  @Test
  void raisedLimitStartsWaitingRequestsAtOnce() {
    SchedulerSimulation simulation = simulation(1, rate(2, AccountLimits.MAX_RATE));
    for (int i = 0; i < 10; i++) {
      simulation.request(CLASS, ACCOUNT);
    }
    assertEquals(2, grants(simulation));
    simulation.config.account("a0", 1, rate(20, AccountLimits.MAX_RATE));
    simulation.configure();
    assertEquals(10, grants(simulation));
  }

  @Test
  void shardLimitGrowsWithThePublishedLimit() {
    SchedulerSimulation simulation = simulation(1, rate(4, AccountLimits.MAX_RATE));
    Map<AccountId, AccountLimits> limits = Map.of(ACCOUNT, rate(1, AccountLimits.MAX_RATE));
    simulation.check(simulation.scheduler.setLimits(limits), null);
    for (int i = 0; i < 20; i++) {
      simulation.request(CLASS, ACCOUNT);
    }
    assertEquals(1, grants(simulation));
    simulation.config.account("a0", 1, rate(40, AccountLimits.MAX_RATE));
    simulation.configure();
    assertEquals(10, grants(simulation));
  }

  @Test
  void limitedAccountDoesNotDelayOthers() {
    SchedulerSimulation simulation = simulation(1, rate(1, AccountLimits.MAX_RATE));
    for (int i = 0; i < 5; i++) {
      simulation.request(CLASS, ACCOUNT);
    }
    simulation.request(CLASS, OTHER);
    assertEquals(2, grants(simulation));
  }
}
