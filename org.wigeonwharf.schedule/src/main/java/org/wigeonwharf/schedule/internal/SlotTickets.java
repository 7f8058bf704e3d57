package org.wigeonwharf.schedule.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.HeldLease;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.internal.Registration.NumberedLease;

/**
 * Tracks the waiting slot requests and the leases of one router.
 *
 * <p>Each is identified in all messages by a ticket, a number that is never reused, so that a late
 * message of an earlier attempt has no effect on a later one. Not thread-safe.
 */
final class SlotTickets {
  private final NodeId self;
  private final Clock clock;
  private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
  private final Map<Long, Held> held = new LinkedHashMap<>();
  private long lastTicket;

  /** A slot request without a decision. */
  static final class Waiting {
    final SlotRequest request;
    final SlotListener listener;
    final long sinceNanos;
    long ticket;

    /** Number of the session in which the request was last sent, or 0 for none. */
    long sentInSession;

    Waiting(SlotRequest request, SlotListener listener, long sinceNanos, long ticket) {
      this.request = request;
      this.listener = listener;
      this.sinceNanos = sinceNanos;
      this.ticket = ticket;
    }
  }

  /** A lease in use. */
  record Held(
      long ticket, SlotRequest request, SlotListener listener, long lease, ServerId server) {
    boolean matches(long otherLease) {
      return lease == otherLease;
    }
  }

  SlotTickets(NodeId self, Clock clock) {
    this.self = self;
    this.clock = clock;
  }

  Waiting add(SlotRequest request, SlotListener listener) {
    Waiting w = new Waiting(request, listener, clock.nanos(), ++lastTicket);
    waiting.put(w.ticket, w);
    return w;
  }

  /** Gives a waiting request a new ticket and marks it as not sent. */
  void assignNewTicket(Waiting w) {
    waiting.remove(w.ticket);
    w.ticket = ++lastTicket;
    w.sentInSession = 0;
    waiting.put(w.ticket, w);
  }

  @Nullable Waiting findWaiting(long ticket) {
    return waiting.get(ticket);
  }

  @Nullable Waiting removeWaiting(long ticket) {
    return waiting.remove(ticket);
  }

  List<Waiting> allWaiting() {
    return List.copyOf(waiting.values());
  }

  void hold(Waiting w, long lease, ServerId server) {
    waiting.remove(w.ticket);
    held.put(w.ticket, new Held(w.ticket, w.request, w.listener, lease, server));
  }

  @Nullable Held findHeld(long ticket) {
    return held.get(ticket);
  }

  @Nullable Held removeHeld(long ticket) {
    return held.remove(ticket);
  }

  int waitingCount() {
    return waiting.size();
  }

  int heldCount() {
    return held.size();
  }

  Set<ShardId> shardsInUse() {
    Set<ShardId> used = new HashSet<>();
    waiting.values().forEach(w -> used.add(w.request.shard()));
    held.values().forEach(h -> used.add(h.request().shard()));
    return used;
  }

  /** Lists the leases and waiting requests of a shard and marks the requests as sent. */
  Registration registration(ShardId shard, long session, long configRevision) {
    List<NumberedLease> leases = new ArrayList<>();
    for (Held h : held.values()) {
      if (h.request().shard().equals(shard)) {
        leases.add(toNumberedLease(h));
      }
    }
    List<SlotRequest> requests = new ArrayList<>();
    for (Waiting w : waiting.values()) {
      if (w.request.shard().equals(shard)) {
        w.sentInSession = session;
        requests.add(toWireRequest(w, configRevision));
      }
    }
    return new Registration(leases, requests);
  }

  private NumberedLease toNumberedLease(Held h) {
    SlotRequest r = h.request();
    return new NumberedLease(
        new HeldLease(idOf(h.ticket()), h.server(), r.serviceClass(), r.account()), h.lease());
  }

  SlotRequest toWireRequest(Waiting w, long configRevision) {
    SlotRequest r = w.request;
    return new SlotRequest(
        idOf(w.ticket),
        r.shard(),
        r.serviceClass(),
        r.account(),
        r.estimatedTokens(),
        r.affinity(),
        waitedMillis(w),
        r.repeatable(),
        configRevision);
  }

  Outcome toWireOutcome(Held h, Outcome o) {
    return new Outcome(
        idOf(h.ticket()),
        o.shard(),
        h.lease(),
        h.server(),
        o.end(),
        o.firstTokenMillis(),
        o.tokens(),
        o.totalMillis());
  }

  RequestId idOf(long ticket) {
    return new RequestId(self, ticket);
  }

  long waitedMillis(Waiting w) {
    return w.request.waitedMillis() + (clock.nanos() - w.sinceNanos) / Clock.NANOS_PER_MILLI;
  }
}
