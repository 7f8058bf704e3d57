package org.wigeonwharf.schedule.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.schedule.Decision;

/**
 * A RouterSession is what a scheduler knows of one router: its waiting requests, its leases and how
 * many messages of the session have passed each way. Not thread-safe.
 */
final class RouterSession {
  final Map<Long, LeaseRecord> leases = new HashMap<>();
  final Set<Long> waiting = new HashSet<>();
  long number;
  long received;
  long sent;
  boolean open;
  @Nullable Long absentSinceNanos;

  /**
   * A LeaseRecord is a lease that the scheduler counts as busy.
   *
   * @param server the leased backend server
   * @param lease the lease's number in the term of the scheduler that granted it
   * @param grant the grant, or null if a former scheduler gave it
   * @param preemption the last preemption sent for it, or null for none
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
   * Notes whether the view of the fleet has the router. A registration may come from a router that
   * the view has not caught up with, or that died before it did.
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
