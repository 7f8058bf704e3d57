package org.wigeonwharf.schedule;

import java.util.HashMap;
import java.util.Map;
import org.wigeonwharf.model.AccountId;

/**
 * VirtualTimes are the weighted use of a tier by each client account; the least goes next.
 *
 * <p>An account that comes back from idling starts at the time of the account served last, so
 * idling saves nothing up. Not thread-safe.
 */
final class VirtualTimes {
  private final Map<AccountId, Double> times = new HashMap<>();
  private double systemTime;

  /**
   * Returns an account's virtual time.
   *
   * @param account the account
   * @return weighted expected slot time used, in milliseconds
   */
  double timeOf(AccountId account) {
    return times.getOrDefault(account, systemTime);
  }

  /**
   * Notes that an account began to wait.
   *
   * @param account the account
   */
  void activate(AccountId account) {
    times.merge(account, systemTime, Math::max);
  }

  /**
   * Charges a grant.
   *
   * @param account the account
   * @param costMillis expected slot time in milliseconds
   * @param weight the account's weight, above 0
   */
  void charge(AccountId account, double costMillis, double weight) {
    double start = timeOf(account);
    systemTime = Math.max(systemTime, start);
    times.put(account, start + costMillis / weight);
  }
}
