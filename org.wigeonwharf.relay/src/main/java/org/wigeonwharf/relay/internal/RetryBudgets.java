package org.wigeonwharf.relay.internal;

import java.util.concurrent.ConcurrentHashMap;
import org.wigeonwharf.model.ServiceId;

/** Holds one retry budget per service. */
public final class RetryBudgets {
  private static final int RETRIES_PER_MILLE = 100;
  private static final int RESERVE_RETRIES = 10;

  private final ConcurrentHashMap<ServiceId, RetryBudget> budgetsByService =
      new ConcurrentHashMap<>();

  RetryBudget forService(ServiceId service) {
    return budgetsByService.computeIfAbsent(
        service, s -> new RetryBudget(RETRIES_PER_MILLE, RESERVE_RETRIES));
  }
}
