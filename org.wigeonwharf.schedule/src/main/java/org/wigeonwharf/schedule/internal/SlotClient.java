package org.wigeonwharf.schedule.internal;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.HeldLease;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.ShardMap;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.wire.GrantMessage;
import org.wigeonwharf.schedule.wire.RefusalMessage;

/**
 * A SlotClient is a router's side of scheduling: its waiting requests and the leases it holds.
 *
 * <p>It follows one scheduler per shard. On a change it tells the new one of every held lease and
 * every waiting request; a grant from any other scheduler is returned unused. Not thread-safe.
 */
public final class SlotClient {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final NodeId self;
  private final Clock clock;
  private final MessageSender sender;
  private final Map<RequestId, Waiting> waiting = new LinkedHashMap<>();
  private final Map<RequestId, Held> held = new LinkedHashMap<>();
  private final Map<ShardId, NodeId> followed = new HashMap<>();
  private @Nullable MembershipView view;
  private Snapshot snapshot = Snapshot.NONE;
  private ShardMap shards = ShardMap.of(Snapshot.NONE.config());

  private static final class Waiting {
    final SlotRequest request;
    final SlotListener listener;
    final long sinceNanos;
    boolean sent;

    Waiting(SlotRequest request, SlotListener listener, long sinceNanos) {
      this.request = request;
      this.listener = listener;
      this.sinceNanos = sinceNanos;
    }
  }

  private record Held(SlotRequest request, SlotListener listener, long lease, ServerId server) {}

  /**
   * Creates a client.
   *
   * @param self the own process
   * @param clock monotonic time
   * @param sender passes messages to schedulers
   */
  public SlotClient(NodeId self, Clock clock, MessageSender sender) {
    this.self = self;
    this.clock = clock;
    this.sender = sender;
  }

  /**
   * Takes a new configuration.
   *
   * @param next the snapshot in force
   */
  public void configure(Snapshot next) {
    snapshot = next;
    shards = ShardMap.of(next.config());
    follow();
  }

  /**
   * Takes a new view of the fleet.
   *
   * @param next the view
   */
  public void view(MembershipView next) {
    view = next;
    follow();
  }

  private void follow() {
    for (ShardId shard : shards.shards().keySet()) {
      Optional<NodeId> next = schedulerOf(shard);
      if (next.isEmpty()) {
        followed.remove(shard);
      } else if (!next.get().equals(followed.get(shard))) {
        followed.put(shard, next.get());
        register(shard, next.get());
      }
    }
  }

  private Optional<NodeId> schedulerOf(ShardId shard) {
    return view == null ? Optional.empty() : view.schedulerOf(shard);
  }

  private void register(ShardId shard, NodeId scheduler) {
    for (Held h : held.values()) {
      if (h.request().shard().equals(shard)) {
        sender.send(scheduler, ScheduleCodec.held(shard, toHeldLease(h)));
      }
    }
    for (Waiting w : waiting.values()) {
      if (w.request.shard().equals(shard)) {
        w.sent = sender.send(scheduler, ScheduleCodec.request(withWait(w)));
      }
    }
    sender.send(scheduler, ScheduleCodec.registered(shard, snapshot.revision()));
  }

  private static HeldLease toHeldLease(Held h) {
    SlotRequest r = h.request();
    return new HeldLease(r.id(), h.server(), r.serviceClass(), r.account());
  }

  private SlotRequest withWait(Waiting w) {
    SlotRequest r = w.request;
    long waited = (clock.nanos() - w.sinceNanos) / Clock.NANOS_PER_MILLI;
    return new SlotRequest(
        r.id(),
        r.shard(),
        r.serviceClass(),
        r.account(),
        r.estimatedTokens(),
        r.affinity(),
        r.waitedMillis() + waited,
        r.repeatable(),
        snapshot.revision());
  }

  /**
   * Queues a request at its shard's scheduler.
   *
   * @param request what is wanted
   * @param listener hears the decision
   */
  public void acquire(SlotRequest request, SlotListener listener) {
    Waiting w = new Waiting(request, listener, clock.nanos());
    waiting.put(request.id(), w);
    send(w);
  }

  private void send(Waiting w) {
    NodeId scheduler = followed.get(w.request.shard());
    w.sent = scheduler != null && sender.send(scheduler, ScheduleCodec.request(withWait(w)));
  }

  /**
   * Withdraws a waiting request.
   *
   * @param id the request
   */
  public void cancel(RequestId id) {
    Waiting w = waiting.remove(id);
    NodeId scheduler = w == null ? null : followed.get(w.request.shard());
    if (w != null && scheduler != null) {
      sender.send(scheduler, ScheduleCodec.cancel(w.request.shard(), id));
    }
  }

  /**
   * Reports the end of a held lease to the scheduler now followed.
   *
   * @param outcome how it ended
   */
  public void end(Outcome outcome) {
    held.remove(outcome.request());
    NodeId scheduler = followed.get(outcome.shard());
    if (scheduler != null) {
      sender.send(scheduler, ScheduleCodec.outcome(outcome));
    }
  }

  /**
   * Takes a grant.
   *
   * @param from the granting router
   * @param m the grant
   */
  public void granted(NodeId from, GrantMessage m) {
    ShardId shard = ScheduleCodec.fromWire(m.getShard());
    RequestId id = new RequestId(self, m.getSequence());
    Waiting w = waiting.get(id);
    ServerId server = new ServerId(m.getServer());
    Optional<BackendServer> known = snapshot.config().server(shard.service(), server);
    if (w == null || !from.equals(followed.get(shard)) || known.isEmpty()) {
      sender.send(from, ScheduleCodec.outcome(returned(id, shard, m)));
      if (w != null && from.equals(followed.get(shard))) {
        w.sent = false;
      }
      return;
    }
    waiting.remove(id);
    held.put(id, new Held(w.request, w.listener, m.getLease(), server));
    long voidAt = clock.nanos() + m.getStartWithinMillis() * Clock.NANOS_PER_MILLI;
    w.listener.granted(new Lease(w.request, m.getLease(), known.get(), voidAt));
  }

  private static Outcome returned(RequestId id, ShardId shard, GrantMessage m) {
    ServerId server = new ServerId(m.getServer());
    return new Outcome(id, shard, m.getLease(), server, LeaseEnd.RETURNED, -1, 0, 0);
  }

  /**
   * Takes a refusal.
   *
   * @param from the refusing router
   * @param m the refusal
   */
  public void refused(NodeId from, RefusalMessage m) {
    RequestId id = new RequestId(self, m.getSequence());
    Waiting w = waiting.get(id);
    if (w == null || !from.equals(followed.get(w.request.shard()))) {
      return;
    }
    waiting.remove(id);
    w.listener.refused(ScheduleCodec.reason(m.getReason()), m.getRetryAfterMillis());
  }

  /**
   * Takes a preemption.
   *
   * @param from the scheduler
   * @param sequence the request's number
   * @param lease the lease to give up
   */
  public void preempted(NodeId from, long sequence, long lease) {
    Held h = held.get(new RequestId(self, sequence));
    if (h != null && h.lease() == lease && from.equals(followed.get(h.request().shard()))) {
      h.listener().preempted();
    }
  }

  /**
   * Notes that a router does not hold the role this process thought it had.
   *
   * @param sequence the request to send again later
   */
  public void notScheduler(long sequence) {
    Waiting w = waiting.get(new RequestId(self, sequence));
    if (w != null) {
      w.sent = false;
    }
  }

  /** Sends again what could not be sent and refuses what has no scheduler for too long. */
  public void tick() {
    for (Waiting w : List.copyOf(waiting.values())) {
      if (!w.sent) {
        send(w);
      }
      if (!w.sent && isPastDeadline(w)) {
        waiting.remove(w.request.id());
        w.listener.refused(RefusalReason.NO_SCHEDULER, RETRY_AFTER_MILLIS);
      }
    }
  }

  private boolean isPastDeadline(Waiting w) {
    var spec = snapshot.config().classes().get(w.request.serviceClass());
    long waited = (clock.nanos() - w.sinceNanos) / Clock.NANOS_PER_MILLI + w.request.waitedMillis();
    return spec == null || waited >= spec.deadline().toMillis();
  }

  /**
   * Returns how many requests wait here.
   *
   * @return a count
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns how many leases are in use here.
   *
   * @return a count
   */
  public int held() {
    return held.size();
  }
}
