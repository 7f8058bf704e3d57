package org.wigeonwharf.gateway.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class RetryBudgetPropertyTest {
  private static final long WINDOW = 10_000;
  private static final double RATIO = 0.2;
  private static final double SLACK = 3;

  /** Parts that a gateway divides the fleet's slack into. */
  private static final double SHARES = 20;

  /** In each window, extra sends stay within the share of the requests up to one window earlier. */
  @Property(tries = 300, seed = "20261204")
  void extraSendsNeverPassTheShareOfAnyWindow(
      @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 400) Integer> gaps) {
    RetryBudget budget = new RetryBudget(WINDOW);
    budget.allow(RATIO, SLACK);
    List<Long> requests = new ArrayList<>();
    List<Long> extras = new ArrayList<>();
    long now = 0;
    for (int gap : gaps) {
      now += gap;
      budget.request("s", now);
      requests.add(now);
      while (budget.tryTake("s", now)) {
        extras.add(now);
      }
    }
    for (long end : extras) {
      long counted = extras.stream().filter(t -> t > end - WINDOW && t <= end).count();
      long asked = requests.stream().filter(t -> t > end - 2 * WINDOW && t <= end).count();
      assertTrue(counted <= RATIO * asked + 2 * SLACK, counted + " extras of " + asked);
    }
  }

  /** A Moment is one request at one router, some time after the request before. */
  private record Moment(int router, long at) {}

  /**
   * Summed over the fleet, extra sends keep to the published limit in every window, though each
   * router repeats whatever its own budget allows, and some restart with a fresh one.
   */
  @Property(tries = 200, seed = "20261204")
  void extraSendsOfTheFleetKeepToItsLimitInEveryWindow(
      @ForAll @IntRange(min = 2, max = 10) int routers,
      @ForAll @Size(max = 500) List<@IntRange(min = 0, max = 100) Integer> gaps,
      @ForAll @IntRange(min = 0, max = 500) int restartAt) {
    double slack = 56;
    List<RetryBudget> fleet = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      fleet.add(fresh(slack));
    }
    List<Moment> requests = new ArrayList<>();
    List<Moment> extras = new ArrayList<>();
    long now = 0;
    for (int i = 0; i < gaps.size(); i++) {
      if (i == restartAt) {
        fleet.replaceAll(b -> fresh(slack));
      }
      now += gaps.get(i);
      int router = i * 7 % routers;
      fleet.get(router).request("s", now);
      requests.add(new Moment(router, now));
      while (fleet.get(router).tryTake("s", now)) {
        extras.add(new Moment(router, now));
      }
    }
    for (Moment end : extras) {
      long counted = inWindow(extras, end.at());
      long asked = Math.max(inWindow(requests, end.at()), inWindow(requests, end.at() - WINDOW));
      assertTrue(counted <= RATIO * asked + slack, counted + " extras of " + asked);
    }
  }

  private static RetryBudget fresh(double fleetSlack) {
    RetryBudget budget = new RetryBudget(WINDOW);
    budget.allow(RATIO, fleetSlack / SHARES);
    return budget;
  }

  private static long inWindow(List<Moment> moments, long end) {
    return moments.stream().filter(m -> m.at() > end - WINDOW && m.at() <= end).count();
  }
}
