package org.wigeonwharf.relay.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.Clock;

/**
 * CallerConnections decides which callers' connections may stay open.
 *
 * <p>A connection belongs to the account of its last request, and each account has a bounded
 * number. A connection without a request in progress is overdue some time after it was opened or
 * its last request ended, however many bytes of a head trickle in. Thread-safe.
 *
 * @param <K> what identifies a connection
 */
final class CallerConnections<K> {
  private final Clock clock;
  private final int perAccount;
  private final long headNanos;
  private final long idleNanos;
  private final Map<K, State> open = new LinkedHashMap<>();
  private final Map<AccountId, Integer> byAccount = new HashMap<>();

  private static final class State {
    long sinceNanos;
    boolean used;
    int requests;
    @Nullable AccountId account;

    State(long nowNanos) {
      this.sinceNanos = nowNanos;
    }
  }

  CallerConnections(Clock clock, int perAccount, long headMillis, long idleMillis) {
    this.clock = clock;
    this.perAccount = perAccount;
    this.headNanos = headMillis * Clock.NANOS_PER_MILLI;
    this.idleNanos = idleMillis * Clock.NANOS_PER_MILLI;
  }

  synchronized void opened(K connection) {
    open.put(connection, new State(clock.nanos()));
  }

  synchronized void closed(K connection) {
    State s = open.remove(connection);
    if (s != null) {
      leave(s);
    }
  }

  /** Notes that a whole request head came. */
  synchronized void began(K connection) {
    State s = open.get(connection);
    if (s != null) {
      s.requests++;
      s.used = true;
    }
  }

  /** Notes that an answer ended. */
  synchronized void ended(K connection) {
    State s = open.get(connection);
    if (s != null) {
      s.requests--;
      s.sinceNanos = clock.nanos();
    }
  }

  /** Assigns a connection to an account; false if the account has too many already. */
  synchronized boolean admit(K connection, AccountId account) {
    State s = open.get(connection);
    if (s == null || account.equals(s.account)) {
      return true;
    }
    if (byAccount.getOrDefault(account, 0) >= perAccount) {
      return false;
    }
    leave(s);
    s.account = account;
    byAccount.merge(account, 1, Integer::sum);
    return true;
  }

  private void leave(State s) {
    if (s.account != null) {
      byAccount.computeIfPresent(s.account, (a, n) -> n == 1 ? null : n - 1);
      s.account = null;
    }
  }

  /** Returns the connections that waited too long for a request. */
  synchronized List<K> overdue() {
    long now = clock.nanos();
    return open.entrySet().stream()
        .filter(e -> isOverdue(e.getValue(), now))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean isOverdue(State s, long now) {
    long allowed = s.used ? idleNanos : headNanos;
    return s.requests == 0 && now - s.sinceNanos >= allowed;
  }

  synchronized int count() {
    return open.size();
  }
}
