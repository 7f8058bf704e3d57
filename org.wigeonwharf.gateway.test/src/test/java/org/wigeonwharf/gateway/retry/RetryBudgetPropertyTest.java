package org.wigeonwharf.gateway.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.wigeonwharf.model.Clock;

/**
 * Guards against retries beyond the published limit, which would amplify an overload. They would
 * occur if requests counted for too long, or if restarts with fresh budgets added up.
 */
class RetryBudgetPropertyTest {
  private static final long WINDOW_NANOS = 10_000;
  private static final double RATIO = 0.2;
  private static final double SLACK = 3;

  /**
   * In each window, the retries stay within the ratio of the requests in this and the preceding
   * window, plus the slack of two windows.
   */
  @Property(tries = 300, seed = "20261204")
  void retriesStayWithinTheRatioInEveryWindow(
      @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 400) Integer> gaps) {
    RetryBudget budget = new RetryBudget(WINDOW_NANOS, slack -> slack);
    budget.setLimits(RATIO, SLACK);
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    long now = 0;
    for (int gap : gaps) {
      now += gap;
      budget.recordRequest("s", now);
      requests.add(now);
      while (budget.tryAcquire("s", now)) {
        retries.add(now);
      }
    }
    for (long end : retries) {
      long retryCount = retries.stream().filter(t -> t > end - WINDOW_NANOS && t <= end).count();
      long requestCount =
          requests.stream().filter(t -> t > end - 2 * WINDOW_NANOS && t <= end).count();
      assertTrue(
          retryCount <= RATIO * requestCount + 2 * SLACK,
          retryCount + " retries for " + requestCount);
    }
  }

  /** A request or a retry at one router. */
  private record TimedEvent(int router, long at) {}

  /**
   * Summed over the fleet, the retries stay within the published limit in every window, even if
   * each router sends all retries that its own budget allows and the routers restart with a fresh
   * one.
   */
  @Property(tries = 200, seed = "20261204")
  void fleetRetriesStayWithinTheLimitInEveryWindow(
      @ForAll @IntRange(min = 2, max = 600) int routers,
      @ForAll @Size(max = 500) List<@IntRange(min = 0, max = 100) Integer> gaps,
      @ForAll @IntRange(min = 0, max = 500) int restartAt) {
    double slack = 56;
    List<RetryBudget> fleet = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      fleet.add(newBudget(slack, routers));
    }
    List<TimedEvent> requests = new ArrayList<>();
    List<TimedEvent> retries = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < gaps.size(); i++) {
      if (i == restartAt) {
        fleet.replaceAll(b -> newBudget(slack, routers));
      }
      now += gaps.get(i);
      int router = i * 7 % routers;
      fleet.get(router).recordRequest("s", now);
      requests.add(new TimedEvent(router, now));
      while (fleet.get(router).tryAcquire("s", now)) {
        retries.add(new TimedEvent(router, now));
      }
    }
    for (TimedEvent end : retries) {
      long retryCount = countInWindow(retries, end.at());
      long requestCount =
          Math.max(
              countInWindow(requests, end.at()), countInWindow(requests, end.at() - WINDOW_NANOS));
      assertTrue(
          retryCount <= RATIO * requestCount + slack, retryCount + " retries for " + requestCount);
    }
  }

  private static RetryBudget newBudget(double fleetSlack, int routers) {
    AtomicLong clock = new AtomicLong();
    FleetShare share = new FleetShare(clock::get, () -> routers - 1);
    clock.set(3 * Clock.NANOS_PER_SECOND);
    RetryBudget budget = new RetryBudget(WINDOW_NANOS, share::of);
    budget.setLimits(RATIO, fleetSlack);
    return budget;
  }

  private static long countInWindow(List<TimedEvent> events, long end) {
    return events.stream().filter(m -> m.at() > end - WINDOW_NANOS && m.at() <= end).count();
  }
}
