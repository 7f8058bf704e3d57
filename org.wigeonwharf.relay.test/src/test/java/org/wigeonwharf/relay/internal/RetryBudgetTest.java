package org.wigeonwharf.relay.internal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against retries in excess of the budget, for any order of first attempts and retries. */
class RetryBudgetTest {
  @Property(seed = "4711")
  void retriesNeverExceedReserveAndShareOfFirstAttempts(
      @ForAll @IntRange(max = 500) int perMille,
      @ForAll @IntRange(max = 20) int reserve,
      @ForAll List<Boolean> firstOrRetry) {
    RetryBudget budget = new RetryBudget(perMille, reserve);
    int firstAttempts = 0;
    int retries = 0;
    for (boolean isFirst : firstOrRetry) {
      if (isFirst) {
        budget.recordFirstAttempt();
        firstAttempts++;
      } else if (budget.tryRetry()) {
        retries++;
      }
      assertTrue(retries * 1_000 <= reserve * 1_000 + firstAttempts * perMille);
    }
  }
}
