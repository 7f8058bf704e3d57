package org.wigeonwharf.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.wigeonwharf.config.AccountLimits;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.model.AccountId;

/**
 * An AccountLimiter holds the client accounts of a shard to their limits.
 *
 * <p>A request over the concurrency limit is refused at once; one over a rate waits for the rate,
 * up to its deadline. Tokens are charged by estimate at the grant and corrected at the end. Not
 * thread-safe.
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
   * Takes the published limits. A part set before grows and shrinks with the limit it is of.
   *
   * @param accounts the published accounts
   * @param nowNanos the time
   */
  void configure(Map<AccountId, AccountSpec> accounts, long nowNanos) {
    published = accounts;
    applyRates(nowNanos);
  }

  /**
   * Takes this shard's parts of the limits.
   *
   * @param limits limits by account; an account left out has its published limits
   * @param nowNanos the time
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
   * Returns the limits in force here.
   *
   * @param account the account
   * @return its part, scaled to the published limits of now
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
   * Tells whether the account may have one more request waiting or running.
   *
   * @param account the account
   * @param nowNanos the time
   * @return false at its concurrency limit
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
   * Tells whether a request of the account may start now.
   *
   * @param account the account
   * @param nowNanos the time
   * @return false while it is over a rate
   */
  boolean canStart(AccountId account, long nowNanos) {
    Usage u = usage(account, nowNanos);
    return u.requests.hasAtLeast(1, nowNanos)
        && u.tokens.hasAtLeast(Math.min(1, u.tokens.rate()), nowNanos);
  }

  /**
   * Tells whether one more request can start within a time, as far as the rate of requests goes.
   *
   * @param account the account
   * @param waiting its waiting requests
   * @param within the time
   * @param nowNanos the time now
   * @return false if the rate is too low for that many
   */
  boolean canStartWithin(AccountId account, int waiting, Duration within, long nowNanos) {
    TokenBucket requests = usage(account, nowNanos).requests;
    double seconds = within.toMillis() / (double) MILLIS_PER_SECOND;
    return requests.hasAtLeast(waiting + 1 - requests.rate() * seconds, nowNanos);
  }

  /**
   * Returns the requests waiting or running, by account.
   *
   * @return a copy
   */
  Map<AccountId, Integer> demand() {
    Map<AccountId, Integer> result = new TreeMap<>();
    usages.forEach((a, u) -> result.put(a, u.admitted));
    return result;
  }

  /**
   * Charges a start.
   *
   * @param account the account
   * @param estimatedTokens the expected output
   * @param nowNanos the time
   */
  void chargeStart(AccountId account, long estimatedTokens, long nowNanos) {
    Usage u = usage(account, nowNanos);
    u.requests.take(1);
    u.tokens.take(estimatedTokens);
  }

  /**
   * Corrects a charge.
   *
   * @param account the account
   * @param estimatedTokens what was charged
   * @param tokens what was generated
   * @param started false if the request did not start and is not to count
   * @param nowNanos the time
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
