package org.wigeonwharf.schedule.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.schedule.Decision;

/**
 * A scheduler's session with one router: the waiting requests, the leases and the number of
 * messages in each direction. Not thread-safe.
 */
final class RouterSession {
  /** The leases by ticket, the sequence number that the router gave the request. */
  final Map<Long, LeaseRecord> leases = new HashMap<>();

  /** The tickets of the waiting requests. */
  final Set<Long> waiting = new HashSet<>();

  /** The session's number, given by the router. */
  long number;

  /** Number of messages received from the router in the session, checkpoints excluded. */
  long received;

  /** Number of decisions sent to the router in the session. */
  long sent;

  boolean open;
  @Nullable Long absentSinceNanos;

  /**
   * A lease that occupies a slot.
   *
   * @param server the leased backend server
   * @param lease the lease's number, unique within the term of the scheduler that granted it
   * @param grant the grant, or null if a previous scheduler granted the lease
   * @param preemption the last preemption sent for the lease, or null for none
   */
  record LeaseRecord(
      ServerId server,
      long lease,
      Decision.@Nullable Grant grant,
      Decision.@Nullable Preemption preemption) {
    boolean matches(ServerId otherServer, long otherLease) {
      return server.equals(otherServer) && lease == otherLease;
    }
  }

  void open(long session) {
    number = session;
    received = 0;
    sent = 0;
    open = true;
    absentSinceNanos = null;
  }

  void markAbsent(long nowNanos) {
    open = false;
    waiting.clear();
    absentSinceNanos = nowNanos;
  }

  /**
   * Updates the time since which the router is absent from the membership view. A router may
   * register before it appears in the view, and may fail before it ever does.
   */
  void updatePresence(boolean live, long nowNanos) {
    if (live && open) {
      absentSinceNanos = null;
    } else if (!live && absentSinceNanos == null) {
      absentSinceNanos = nowNanos;
    }
  }

  boolean isCurrent(long session) {
    return open && session == number;
  }

  boolean isStale(long session) {
    return open && session < number;
  }
}
