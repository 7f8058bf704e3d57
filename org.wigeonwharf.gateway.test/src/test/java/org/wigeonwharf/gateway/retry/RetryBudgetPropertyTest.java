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
}
