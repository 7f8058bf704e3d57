package org.wigeonwharf.relay.internal;

/**
 * Limits retries to a share of first attempts, so that retries do not multiply the load.
 *
 * <p>Each first attempt earns a fraction of a retry, up to a fixed reserve, and each retry spends a
 * whole one. Retries thus stay at that share even while all servers of a service refuse requests.
 * Thread-safe.
 */
public final class RetryBudget {
  private static final int UNITS_PER_RETRY = 1_000;

  private final int unitsPerFirstAttempt;
  private final int maxBalance;
  private int balance;

  /**
   * Creates a budget with a full reserve.
   *
   * @param retriesPerMille number of retries per thousand first attempts
   * @param reserveRetries number of additional retries, which may come in a burst
   */
  public RetryBudget(int retriesPerMille, int reserveRetries) {
    this.unitsPerFirstAttempt = retriesPerMille;
    this.maxBalance = reserveRetries * UNITS_PER_RETRY;
    this.balance = this.maxBalance;
  }

  /** Records a first attempt. */
  public synchronized void recordFirstAttempt() {
    balance = Math.min(maxBalance, balance + unitsPerFirstAttempt);
  }

  /**
   * Spends one retry.
   *
   * @return false if the budget is exhausted and the retry must not be made
   */
  public synchronized boolean tryRetry() {
    if (balance < UNITS_PER_RETRY) {
      return false;
    }
    balance -= UNITS_PER_RETRY;
    return true;
  }
}
