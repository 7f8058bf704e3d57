package org.wigeonwharf.relay.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Clock;

/**
 * Tracks callers' connections, limits their number per client account and detects idle ones.
 *
 * <p>A connection counts towards the account of its last request. A connection without an active
 * request becomes overdue a fixed time after it was opened or its last request ended, even if bytes
 * of an incomplete request head keep arriving. Thread-safe.
 *
 * @param <K> the type that identifies a connection
 */
final class CallerConnections<K> {
  private final Clock clock;
  private final int maxPerAccount;
  private final long headTimeoutNanos;
  private final long idleTimeoutNanos;
  private final Map<K, State> states = new LinkedHashMap<>();
  private final Map<AccountId, Integer> countsByAccount = new HashMap<>();

  private static final class State {
    long idleSinceNanos;
    boolean hadRequest;
    int activeRequests;
    @Nullable AccountId account;

    State(long nowNanos) {
      this.idleSinceNanos = nowNanos;
    }
  }

  CallerConnections(
      Clock clock, int maxPerAccount, long headTimeoutMillis, long idleTimeoutMillis) {
    this.clock = clock;
    this.maxPerAccount = maxPerAccount;
    this.headTimeoutNanos = headTimeoutMillis * Clock.NANOS_PER_MILLI;
    this.idleTimeoutNanos = idleTimeoutMillis * Clock.NANOS_PER_MILLI;
  }

  synchronized void opened(K connection) {
    states.put(connection, new State(clock.nanos()));
  }

  synchronized void closed(K connection) {
    State s = states.remove(connection);
    if (s != null) {
      unassign(s);
    }
  }

  /** Records that a complete request head was received. */
  synchronized void requestBegan(K connection) {
    State s = states.get(connection);
    if (s != null) {
      s.activeRequests++;
      s.hadRequest = true;
    }
  }

  /** Records the end of a response. */
  synchronized void requestEnded(K connection) {
    State s = states.get(connection);
    if (s != null) {
      s.activeRequests--;
      s.idleSinceNanos = clock.nanos();
    }
  }

  /** Assigns a connection to an account; returns false if the account has too many already. */
  synchronized boolean tryAssign(K connection, AccountId account) {
    State s = states.get(connection);
    if (s == null || account.equals(s.account)) {
      return true;
    }
    if (countsByAccount.getOrDefault(account, 0) >= maxPerAccount) {
      return false;
    }
    unassign(s);
    s.account = account;
    countsByAccount.merge(account, 1, Integer::sum);
    return true;
  }

  private void unassign(State s) {
    if (s.account != null) {
      countsByAccount.computeIfPresent(s.account, (a, n) -> n == 1 ? null : n - 1);
      s.account = null;
    }
  }

  /** Returns the connections that have been without an active request for too long. */
  synchronized List<K> overdue() {
    long now = clock.nanos();
    return states.entrySet().stream()
        .filter(e -> isOverdue(e.getValue(), now))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean isOverdue(State s, long now) {
    long timeoutNanos = s.hadRequest ? idleTimeoutNanos : headTimeoutNanos;
    return s.activeRequests == 0 && now - s.idleSinceNanos >= timeoutNanos;
  }

  synchronized int count() {
    return states.size();
  }
}
