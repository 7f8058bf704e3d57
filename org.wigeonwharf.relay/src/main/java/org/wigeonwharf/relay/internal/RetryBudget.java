package org.wigeonwharf.relay.internal;

/**
 * A RetryBudget allows retries as a share of first attempts, so that retries never multiply load.
 *
 * <p>Each first attempt earns a part of a retry, up to a small reserve; each retry spends a whole
 * one. While a whole pool refuses, retries stay at that share. Thread-safe.
 */
public final class RetryBudget {
  private static final int UNITS_PER_RETRY = 1_000;

  private final int unitsPerFirstAttempt;
  private final int maxBalance;
  private int balance;

  /**
   * Creates a budget with a full reserve.
   *
   * @param retriesPerMille retries allowed per thousand first attempts
   * @param reserveRetries retries allowed on top, in a burst
   */
  public RetryBudget(int retriesPerMille, int reserveRetries) {
    this.unitsPerFirstAttempt = retriesPerMille;
    this.maxBalance = reserveRetries * UNITS_PER_RETRY;
    this.balance = this.maxBalance;
  }

  /** Notes a first attempt. */
  public synchronized void recordFirstAttempt() {
    balance = Math.min(maxBalance, balance + unitsPerFirstAttempt);
  }

  /**
   * Spends one retry.
   *
   * @return false if the budget has none left; then the retry must not be made
   */
  public synchronized boolean tryRetry() {
    if (balance < UNITS_PER_RETRY) {
      return false;
    }
    balance -= UNITS_PER_RETRY;
    return true;
  }
}
