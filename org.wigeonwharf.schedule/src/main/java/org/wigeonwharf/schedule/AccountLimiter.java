package org.wigeonwharf.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.wigeonwharf.config.AccountLimits;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.model.AccountId;

/**
 * Enforces the rate and concurrency limits of the client accounts of a shard.
 *
 * <p>A request over the concurrency limit is refused at once. A request over a rate limit waits
 * until the rate allows it, but no longer than its deadline. Tokens are charged by estimate when a
 * slot is granted, and the charge is corrected when the lease ends. Not thread-safe.
 */
final class AccountLimiter {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final AccountLimits UNLIMITED =
      new AccountLimits(
          AccountLimits.MAX_RATE, AccountLimits.MAX_RATE, AccountLimits.MAX_CONCURRENT);

  private final Map<AccountId, Usage> usages = new HashMap<>();
  private Map<AccountId, AccountSpec> published = Map.of();
  private Map<AccountId, Allocation> allocations = Map.of();

  private record Allocation(AccountLimits limits, AccountLimits publishedAtAllocation) {}

  private static final class Usage {
    final TokenBucket requests;
    final TokenBucket tokens;
    int admitted;

    Usage(AccountLimits limits, long nowNanos) {
      requests = new TokenBucket(limits.requestsPerSecond(), nowNanos);
      tokens = new TokenBucket(limits.tokensPerSecond(), nowNanos);
    }
  }

  /**
   * Applies the published limits. Allocations set earlier are scaled in proportion.
   *
   * @param accounts the published accounts
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void configure(Map<AccountId, AccountSpec> accounts, long nowNanos) {
    published = accounts;
    applyRates(nowNanos);
  }

  /**
   * Sets the part of each account's limits that this shard may use.
   *
   * @param limits allocated limits by account; an account not in the map has its published limits
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void setAllocations(Map<AccountId, AccountLimits> limits, long nowNanos) {
    Map<AccountId, Allocation> next = new HashMap<>();
    limits.forEach((a, l) -> next.put(a, new Allocation(l, publishedLimits(a))));
    allocations = next;
    applyRates(nowNanos);
  }

  private void applyRates(long nowNanos) {
    usages.forEach(
        (account, usage) -> {
          AccountLimits limits = limitsOf(account);
          usage.requests.setRate(limits.requestsPerSecond(), nowNanos);
          usage.tokens.setRate(limits.tokensPerSecond(), nowNanos);
        });
  }

  private AccountLimits publishedLimits(AccountId account) {
    AccountSpec spec = published.get(account);
    return spec == null ? UNLIMITED : spec.limits();
  }

  /**
   * Returns the limits of an account in force on this shard.
   *
   * @param account the account
   * @return its allocation, scaled to the current published limits, or the published limits if none
   *     is set
   */
  AccountLimits limitsOf(AccountId account) {
    AccountLimits current = publishedLimits(account);
    Allocation allocation = allocations.get(account);
    if (allocation == null) {
      return current;
    }
    AccountLimits atAllocation = allocation.publishedAtAllocation();
    AccountLimits limits = allocation.limits();
    return new AccountLimits(
        scale(
            limits.requestsPerSecond(),
            current.requestsPerSecond(),
            atAllocation.requestsPerSecond()),
        scale(limits.tokensPerSecond(), current.tokensPerSecond(), atAllocation.tokensPerSecond()),
        (int) scale(limits.concurrent(), current.concurrent(), atAllocation.concurrent()));
  }

  private static double scale(double allocated, double current, double atAllocation) {
    return atAllocation <= 0 ? current : Math.min(current, allocated * current / atAllocation);
  }

  private Usage usage(AccountId account, long nowNanos) {
    return usages.computeIfAbsent(account, a -> new Usage(limitsOf(a), nowNanos));
  }

  /**
   * Returns whether the account may have one more request waiting or running.
   *
   * @param account the account
   * @param nowNanos the current monotonic time in nanoseconds
   * @return false if the account is at its concurrency limit
   */
  boolean canAdmit(AccountId account, long nowNanos) {
    return usage(account, nowNanos).admitted < limitsOf(account).concurrent();
  }

  void admit(AccountId account, long nowNanos) {
    usage(account, nowNanos).admitted++;
  }

  void release(AccountId account, long nowNanos) {
    usage(account, nowNanos).admitted--;
  }

  /**
   * Returns whether a request of the account may start now.
   *
   * @param account the account
   * @param nowNanos the current monotonic time in nanoseconds
   * @return false while the account exceeds its request or token rate
   */
  boolean canStart(AccountId account, long nowNanos) {
    Usage u = usage(account, nowNanos);
    return u.requests.hasAtLeast(1, nowNanos)
        && u.tokens.hasAtLeast(Math.min(1, u.tokens.rate()), nowNanos);
  }

  /**
   * Returns whether the request rate lets one more request start within a period.
   *
   * @param account the account
   * @param waiting number of requests of the account that wait already
   * @param period the period
   * @param nowNanos the current monotonic time in nanoseconds
   * @return false if the rate is too low for the waiting requests and one more
   */
  boolean canStartWithin(AccountId account, int waiting, Duration period, long nowNanos) {
    TokenBucket requests = usage(account, nowNanos).requests;
    double seconds = period.toMillis() / (double) MILLIS_PER_SECOND;
    return requests.hasAtLeast(waiting + 1 - requests.rate() * seconds, nowNanos);
  }

  /**
   * Returns the number of requests waiting or running, by account.
   *
   * @return a copy
   */
  Map<AccountId, Integer> demand() {
    Map<AccountId, Integer> result = new TreeMap<>();
    usages.forEach((a, u) -> result.put(a, u.admitted));
    return result;
  }

  /**
   * Charges an account for the start of a request.
   *
   * @param account the account
   * @param estimatedTokens the expected output length in tokens
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void chargeStart(AccountId account, long estimatedTokens, long nowNanos) {
    Usage u = usage(account, nowNanos);
    u.requests.take(1);
    u.tokens.take(estimatedTokens);
  }

  /**
   * Replaces the estimated charge of a request by its actual use.
   *
   * @param account the account
   * @param estimatedTokens tokens charged at the start
   * @param tokens tokens generated
   * @param started false if the request did not start and must not count against the request rate
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void settleCharge(
      AccountId account, long estimatedTokens, long tokens, boolean started, long nowNanos) {
    Usage u = usage(account, nowNanos);
    u.tokens.take(tokens - estimatedTokens);
    if (!started) {
      u.requests.take(-1);
    }
  }
}
