package org.wigeonwharf.gateway.overload;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Measures the server time that priorities and client accounts of one service have used recently,
 * and what accounts use usually. Not thread-safe.
 */
final class ServiceUsage {
  /** Half-life in ms of recent use: about the time that overload lasts. */
  private static final double RECENT_HALF_LIFE_MILLIS = 2_000;

  /** Half-life in ms of usual use. */
  private static final double USUAL_HALF_LIFE_MILLIS = 30_000;

  /**
   * Part of the mean use of all accounts that each is entitled to beyond its own, so that accounts
   * without a past are equal.
   */
  private static final double EQUAL_PART = 0.25;

  /** Maximum number of accounts that are kept. */
  private static final int MAX_ACCOUNTS = 1_000;

  private final Map<Integer, DecayingSum> priorities = new HashMap<>();
  private final Map<String, AccountUse> accounts = new HashMap<>();
  private final DecayingSum usualTotal;

  private record AccountUse(DecayingSum recent, DecayingSum usual) {}

  ServiceUsage(long now) {
    usualTotal = new DecayingSum(USUAL_HALF_LIFE_MILLIS, now);
  }

  /** Names the account of callers that did not authenticate. */
  static String key(@Nullable String account) {
    return account == null ? "" : account;
  }

  void record(QueuedRequest r, long now) {
    priorities
        .computeIfAbsent(r.priority(), p -> new DecayingSum(RECENT_HALF_LIFE_MILLIS, now))
        .add(r.slotMillis(), now);
    if (accounts.size() >= MAX_ACCOUNTS && !accounts.containsKey(key(r.account()))) {
      accounts.clear();
    }
    AccountUse use =
        accounts.computeIfAbsent(
            key(r.account()),
            a ->
                new AccountUse(
                    new DecayingSum(RECENT_HALF_LIFE_MILLIS, now),
                    new DecayingSum(USUAL_HALF_LIFE_MILLIS, now)));
    use.recent.add(r.slotMillis(), now);
    use.usual.add(r.slotMillis(), now);
    usualTotal.add(r.slotMillis(), now);
  }

  /** Returns the recent use of each priority in ms of a slot. */
  Map<Integer, Double> byPriority(long now) {
    Map<Integer, Double> use = new HashMap<>();
    priorities.forEach((p, sum) -> use.put(p, sum.at(now)));
    return use;
  }

  /** Returns the recent use of an account in ms of a slot. */
  double recent(@Nullable String account, long now) {
    AccountUse use = accounts.get(key(account));
    return use == null ? 0 : use.recent.at(now);
  }

  /**
   * Returns what an account is entitled to: its own usual use and a part of the mean of all
   * accounts, in any unit that is the same for all.
   */
  double entitlement(@Nullable String account, long now) {
    AccountUse use = accounts.get(key(account));
    double mean = usualTotal.at(now) / Math.max(1, accounts.size());
    double own = use == null ? 0 : use.usual.at(now);
    return Math.max(1, own + EQUAL_PART * mean);
  }
}
