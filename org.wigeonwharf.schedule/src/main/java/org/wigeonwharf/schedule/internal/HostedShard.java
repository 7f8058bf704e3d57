package org.wigeonwharf.schedule.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.Decision;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.ShardScheduler;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.internal.RouterSession.LeaseRecord;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/**
 * Runs the scheduler of one shard and the sessions of the routers that use it.
 *
 * <p>A router opens a session with a registration of all its leases and waiting requests, so that
 * lost messages and decisions of earlier sessions have no effect. Both sides count the messages of
 * a session; a checkpoint with a different count reveals a loss, and a new registration repairs it.
 * Not thread-safe.
 */
final class HostedShard {
  /** Longest wait for the registrations of the routers before a new scheduler grants. */
  static final long REGISTRATION_TIMEOUT_NANOS = 500 * Clock.NANOS_PER_MILLI;

  /** Time for which the leases of an absent router still occupy their slots. */
  static final long ORPHANED_LEASE_TIMEOUT_NANOS = 3 * Clock.NANOS_PER_SECOND;

  private final ShardId shard;
  private final Clock clock;
  private final MessageSender sender;
  private final ShardScheduler scheduler;
  private final long registrationDeadlineNanos;
  private final ObjLongConsumer<NodeId> newerRevisionListener;
  private final Map<NodeId, RouterSession> routers = new HashMap<>();
  private final DeferredRequests deferred = new DeferredRequests();
  private long revision;
  private boolean granting;

  HostedShard(
      ShardId shard,
      Clock clock,
      MessageSender sender,
      ObjLongConsumer<NodeId> newerRevisionListener) {
    this.shard = shard;
    this.clock = clock;
    this.sender = sender;
    this.newerRevisionListener = newerRevisionListener;
    this.scheduler = new ShardScheduler(shard, clock);
    this.registrationDeadlineNanos = clock.nanos() + REGISTRATION_TIMEOUT_NANOS;
    scheduler.setGranting(false);
  }

  ShardScheduler scheduler() {
    return scheduler;
  }

  void configure(Snapshot snapshot, List<BackendServer> servers) {
    revision = snapshot.revision();
    apply(scheduler.configure(snapshot.config(), servers));
    submitDeferred();
  }

  /** Starts granting once all expected routers have registered or the timeout has passed. */
  void startGrantingIfReady(Collection<NodeId> expected) {
    if (granting) {
      return;
    }
    if (expected.stream().allMatch(this::isOpen)
        || clock.nanos() - registrationDeadlineNanos >= 0) {
      granting = true;
      apply(scheduler.setGranting(true));
    }
  }

  private boolean isOpen(NodeId node) {
    RouterSession r = routers.get(node);
    return r != null && r.open;
  }

  void register(NodeId from, long session, Registration registration) {
    RouterSession r = routers.computeIfAbsent(from, n -> new RouterSession());
    if (r.open && session <= r.number) {
      return;
    }
    r.open(session);
    registration.held().forEach(h -> adoptLease(r, h));
    releaseUnregistered(from, r, registration);
    registration.waiting().forEach(w -> admit(r, w));
  }

  private void adoptLease(RouterSession r, Registration.NumberedLease h) {
    LeaseRecord existing = r.leases.get(h.ticket());
    if (existing != null && existing.matches(h.held().server(), h.lease())) {
      if (existing.preemption() != null) {
        // The preemption may have been lost.
        send(r, existing.preemption());
      }
      return;
    }
    if (existing != null) {
      release(r, h.held().request(), existing);
    }
    r.waiting.remove(h.ticket());
    r.leases.put(h.ticket(), new LeaseRecord(h.held().server(), h.lease(), null, null));
    scheduler.adoptLease(h.held());
  }

  private void releaseUnregistered(NodeId from, RouterSession r, Registration registration) {
    Set<Long> held = registration.heldTickets();
    Set<Long> waiting = registration.waitingTickets();
    for (Map.Entry<Long, LeaseRecord> e : Map.copyOf(r.leases).entrySet()) {
      if (!held.contains(e.getKey()) && !waiting.contains(e.getKey())) {
        release(r, new RequestId(from, e.getKey()), e.getValue());
      }
    }
    for (long ticket : Set.copyOf(r.waiting)) {
      if (!waiting.contains(ticket)) {
        r.waiting.remove(ticket);
        withdraw(new RequestId(from, ticket));
      }
    }
  }

  private void release(RouterSession r, RequestId id, LeaseRecord record) {
    r.leases.remove(id.sequence());
    apply(
        scheduler.recordOutcome(
            new Outcome(id, shard, record.lease(), record.server(), LeaseEnd.RETURNED, -1, 0, 0)));
  }

  private void admit(RouterSession r, SlotRequest request) {
    LeaseRecord granted = r.leases.get(request.id().sequence());
    if (granted != null && granted.grant() != null) {
      // The router still waits, so the grant was lost.
      send(r, granted.grant());
    } else if (r.waiting.add(request.id().sequence())) {
      submitOrDefer(request);
    }
  }

  private void submitOrDefer(SlotRequest request) {
    if (request.configRevision() <= revision) {
      apply(scheduler.submit(request));
      return;
    }
    deferred.add(request, clock.nanos());
    newerRevisionListener.accept(request.id().origin(), request.configRevision());
  }

  private void submitDeferred() {
    deferred.removeReady(revision, clock.nanos()).forEach(r -> apply(scheduler.submit(r)));
  }

  private void withdraw(RequestId id) {
    deferred.remove(id);
    scheduler.cancel(id);
  }

  void submit(long session, SlotRequest request) {
    NodeId from = request.id().origin();
    RouterSession r = routers.get(from);
    if (r != null && r.isCurrent(session)) {
      r.received++;
      admit(r, request);
    } else if (r == null || !r.isStale(session)) {
      requestRegistration(from, session);
    }
  }

  void cancel(long session, RequestId id) {
    RouterSession r = routers.get(id.origin());
    if (r == null) {
      return;
    }
    countReceived(r, session);
    if (r.waiting.remove(id.sequence())) {
      withdraw(id);
    }
  }

  void recordOutcome(long session, Outcome outcome) {
    RequestId id = outcome.request();
    RouterSession r = routers.get(id.origin());
    if (r == null) {
      return;
    }
    countReceived(r, session);
    LeaseRecord record = r.leases.get(id.sequence());
    if (record != null && record.matches(outcome.server(), outcome.lease())) {
      r.leases.remove(id.sequence());
      apply(scheduler.recordOutcome(outcome));
    }
  }

  private static void countReceived(RouterSession r, long session) {
    if (r.isCurrent(session)) {
      r.received++;
    }
  }

  void checkpoint(NodeId from, long session, long sent) {
    RouterSession r = routers.get(from);
    if (r != null && r.isStale(session)) {
      return;
    }
    if (r == null || !r.isCurrent(session) || r.received != sent) {
      requestRegistration(from, session);
      return;
    }
    sender.send(
        from, ScheduleCodec.inSession(ScheduleCodec.checkpointReply(shard, r.sent), session));
  }

  void requestRegistration(NodeId router, long session) {
    sender.send(router, ScheduleCodec.inSession(ScheduleCodec.resync(shard), session));
  }

  void markAbsent(NodeId node) {
    RouterSession r = routers.get(node);
    if (r != null && r.absentSinceNanos == null) {
      r.markAbsent(clock.nanos());
      deferred.removeAllFrom(node);
      scheduler.dropWaiting(node);
    }
  }

  /** Expires absent routers, submits deferred requests and refuses requests past a deadline. */
  void tick(Set<NodeId> live) {
    long now = clock.nanos();
    routers.forEach((node, r) -> r.updatePresence(live.contains(node), now));
    expireAbsentRouters(now);
    submitDeferred();
    apply(scheduler.tick());
  }

  private void expireAbsentRouters(long now) {
    for (Map.Entry<NodeId, RouterSession> e : Map.copyOf(routers).entrySet()) {
      @Nullable Long since = e.getValue().absentSinceNanos;
      if (since != null && now - since >= ORPHANED_LEASE_TIMEOUT_NANOS) {
        routers.remove(e.getKey());
        deferred.removeAllFrom(e.getKey());
        scheduler.dropWaiting(e.getKey());
        apply(scheduler.expireLeases(e.getKey()));
      }
    }
  }

  private void apply(List<Decision> decisions) {
    for (Decision d : decisions) {
      RouterSession r = routers.computeIfAbsent(d.request().origin(), n -> new RouterSession());
      recordDecision(r, d);
      send(r, d);
    }
  }

  private static void recordDecision(RouterSession r, Decision d) {
    long ticket = d.request().sequence();
    if (d instanceof Decision.Preemption p) {
      r.leases.computeIfPresent(
          ticket, (t, l) -> new LeaseRecord(l.server(), l.lease(), l.grant(), p));
      return;
    }
    r.waiting.remove(ticket);
    if (d instanceof Decision.Grant g) {
      r.leases.put(ticket, new LeaseRecord(g.server(), g.lease(), g, null));
    }
  }

  private void send(RouterSession r, Decision d) {
    r.sent++;
    ScheduleMessage m = ScheduleCodec.decision(shard, d);
    sender.send(d.request().origin(), ScheduleCodec.inSession(m, r.number));
  }
}
