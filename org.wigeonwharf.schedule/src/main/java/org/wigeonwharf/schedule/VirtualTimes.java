package org.wigeonwharf.schedule;

import java.util.HashMap;
import java.util.Map;
import org.wigeonwharf.model.AccountId;

/**
 * Tracks the virtual times of the client accounts in a tier; the account with the least goes next.
 *
 * <p>The virtual time of an account is its weighted use. An account that becomes active again
 * starts no earlier than the system virtual time, which is that of the latest account served, so it
 * gains no credit while idle. Not thread-safe.
 */
final class VirtualTimes {
  private final Map<AccountId, Double> times = new HashMap<>();
  private double systemTime;

  /**
   * Returns an account's virtual time.
   *
   * @param account the account
   * @return expected slot time used, divided by the weight, in milliseconds
   */
  double timeOf(AccountId account) {
    return times.getOrDefault(account, systemTime);
  }

  /**
   * Records that a request of an account began to wait.
   *
   * @param account the account
   */
  void activate(AccountId account) {
    times.merge(account, systemTime, Math::max);
  }

  /**
   * Charges an account for a grant.
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
