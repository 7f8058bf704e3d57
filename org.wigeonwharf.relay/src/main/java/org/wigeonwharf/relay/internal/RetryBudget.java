package org.wigeonwharf.relay.internal;

/**
 * A RetryBudget allows retries as a share of first attempts, so that retries never multiply load.
 *
 * <p>Each first attempt earns a part of a retry, up to a small reserve; each retry spends a whole
 * one. While a whole pool refuses, retries stay at that share. Thread-safe.
 */
public final class RetryBudget {
  private static final int PER_RETRY = 1_000;

  private final int earned;
  private final int reserve;
  private int balance;

  /**
   * Creates a budget with a full reserve.
   *
   * @param perMille retries allowed per thousand first attempts
   * @param reserve retries allowed on top, in a burst
   */
  public RetryBudget(int perMille, int reserve) {
    this.earned = perMille;
    this.reserve = reserve * PER_RETRY;
    this.balance = this.reserve;
  }

  /** Notes a first attempt. */
  public synchronized void firstAttempt() {
    balance = Math.min(reserve, balance + earned);
  }

  /**
   * Spends one retry.
   *
   * @return false if the budget has none left; then the retry must not be made
   */
  public synchronized boolean tryRetry() {
    if (balance < PER_RETRY) {
      return false;
    }
    balance -= PER_RETRY;
    return true;
  }
}
