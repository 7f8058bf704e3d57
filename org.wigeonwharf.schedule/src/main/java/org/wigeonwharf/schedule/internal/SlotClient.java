package org.wigeonwharf.schedule.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.ShardMap;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.internal.SlotTickets.Held;
import org.wigeonwharf.schedule.internal.SlotTickets.Waiting;
import org.wigeonwharf.schedule.wire.GrantMessage;
import org.wigeonwharf.schedule.wire.PreemptMessage;
import org.wigeonwharf.schedule.wire.RefusalMessage;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/**
 * A SlotClient is a router's side of scheduling: its waiting requests and the leases it holds.
 *
 * <p>It follows one scheduler per shard: those of its own failure domain, and others while it has
 * something there. To follow, it opens a session with a registration of every held lease and
 * waiting request; messages of earlier sessions count no more, and a grant from any other scheduler
 * is returned unused. Each {@link #acquire} draws a ticket, which stands for the request in all
 * messages, so that nothing late of an earlier attempt counts for a later one. Not thread-safe.
 */
public final class SlotClient {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** How long past its deadline a request waits for the scheduler's own refusal. */
  private static final long REFUSAL_GRACE_MILLIS = 250;

  /** Deadline of a request whose class the configuration lacks. */
  private static final long UNKNOWN_CLASS_DEADLINE_MILLIS = 1_000;

  private final NodeId self;
  private final Clock clock;
  private final MessageSender sender;
  private final SlotTickets tickets;
  private final Map<ShardId, FollowedShard> followed = new TreeMap<>();
  private @Nullable MembershipView view;
  private Snapshot snapshot = Snapshot.NONE;
  private ShardMap shards = ShardMap.of(Snapshot.NONE.config());
  private long sessions;

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
    this.tickets = new SlotTickets(self, clock);
  }

  /**
   * Takes a new configuration.
   *
   * @param next the snapshot in force
   */
  public void configure(Snapshot next) {
    snapshot = next;
    shards = ShardMap.of(next.config());
    followAll();
  }

  /**
   * Takes a new view of the fleet.
   *
   * @param next the view
   */
  public void view(MembershipView next) {
    view = next;
    followAll();
  }

  /** Ends all sessions: the process was paused, and what reaches it now may be old. */
  public void paused() {
    followed.values().forEach(f -> f.declined(++sessions, clock.nanos()));
  }

  private void followAll() {
    Set<ShardId> wanted = wantedShards();
    followed.keySet().retainAll(wanted);
    wanted.forEach(this::follow);
  }

  private Set<ShardId> wantedShards() {
    Set<ShardId> wanted = new HashSet<>();
    Optional<FailureDomain> domain = ownDomain();
    shards.shards().keySet().stream()
        .filter(s -> domain.filter(s.domain()::equals).isPresent())
        .forEach(wanted::add);
    wanted.addAll(tickets.shardsInUse());
    return wanted;
  }

  private Optional<FailureDomain> ownDomain() {
    return view == null
        ? Optional.empty()
        : view.members().stream()
            .filter(m -> m.peer().node().equals(self))
            .map(m -> m.peer().domain())
            .findFirst();
  }

  private void follow(ShardId shard) {
    Optional<NodeId> next = view == null ? Optional.empty() : view.schedulerOf(shard);
    if (next.isEmpty()) {
      followed.remove(shard);
      return;
    }
    FollowedShard now = followed.get(shard);
    if (now == null || !now.scheduler.equals(next.get())) {
      FollowedShard f = new FollowedShard(shard, next.get());
      followed.put(shard, f);
      register(f);
    }
  }

  private void register(FollowedShard f) {
    long session = ++sessions;
    Registration all = tickets.registration(f.shard, session, snapshot.revision());
    ScheduleMessage m = ScheduleCodec.registration(f.shard, snapshot.revision(), all);
    boolean reached = sender.send(f.scheduler, ScheduleCodec.inSession(m, session));
    f.opened(session, reached, clock.nanos());
  }

  private void send(FollowedShard f, ScheduleMessage m) {
    f.countSent();
    sender.send(f.scheduler, ScheduleCodec.inSession(m, f.session));
  }

  /**
   * Queues a request at its shard's scheduler.
   *
   * @param request what is wanted
   * @param listener hears the decision
   */
  public void acquire(SlotRequest request, SlotListener listener) {
    Waiting w = tickets.add(request, listener);
    FollowedShard f = followed.get(request.shard());
    if (f == null) {
      follow(request.shard());
    } else {
      sendIfOpen(f, w);
    }
  }

  private void sendIfOpen(FollowedShard f, Waiting w) {
    if (f.isOpen() && w.sentInSession != f.session) {
      w.sentInSession = f.session;
      send(f, ScheduleCodec.request(tickets.toWireRequest(w, snapshot.revision())));
    }
  }

  /**
   * Withdraws a waiting request.
   *
   * @param id the request
   */
  public void cancel(RequestId id) {
    for (Waiting w : tickets.allWaiting()) {
      if (w.request.id().equals(id)) {
        withdraw(w);
      }
    }
  }

  private void withdraw(Waiting w) {
    tickets.removeWaiting(w.ticket);
    FollowedShard f = followed.get(w.request.shard());
    if (f != null && f.isOpen() && w.sentInSession == f.session) {
      send(f, ScheduleCodec.cancel(f.shard, tickets.idOf(w.ticket)));
    }
  }

  /**
   * Reports the end of a held lease to the scheduler now followed.
   *
   * @param outcome how it ended
   */
  public void end(Outcome outcome) {
    Held h = tickets.removeHeld(outcome.lease());
    FollowedShard f = h == null ? null : followed.get(outcome.shard());
    if (h != null && f != null && f.isOpen()) {
      send(f, ScheduleCodec.outcome(tickets.toWireOutcome(h, outcome)));
    }
  }

  /**
   * Takes a grant.
   *
   * @param from the granting router
   * @param session the session it was granted in
   * @param m the grant
   */
  public void granted(NodeId from, long session, GrantMessage m) {
    FollowedShard f = followed.get(ScheduleCodec.fromWire(m.getShard()));
    if (f == null || !f.scheduler.equals(from)) {
      sender.send(from, returned(m));
      return;
    }
    if (!f.isCurrent(from, session)) {
      return;
    }
    f.countReceived();
    Waiting w = tickets.findWaiting(m.getSequence());
    if (w != null) {
      use(f, w, m);
    } else if (!isHeld(m)) {
      send(f, returned(m));
    }
  }

  private boolean isHeld(GrantMessage m) {
    Held h = tickets.findHeld(m.getSequence());
    return h != null && h.isOf(m.getLease());
  }

  private void use(FollowedShard f, Waiting w, GrantMessage m) {
    ServerId server = new ServerId(m.getServer());
    Optional<BackendServer> known = snapshot.config().server(f.shard.service(), server);
    if (known.isEmpty()) {
      send(f, returned(m));
      tickets.renew(w);
      return;
    }
    tickets.hold(w, m.getLease(), server);
    long voidAt = clock.nanos() + m.getStartWithinMillis() * Clock.NANOS_PER_MILLI;
    w.listener.granted(new Lease(w.request, w.ticket, known.get(), voidAt));
  }

  private ScheduleMessage returned(GrantMessage m) {
    return ScheduleCodec.outcome(
        new Outcome(
            tickets.idOf(m.getSequence()),
            ScheduleCodec.fromWire(m.getShard()),
            m.getLease(),
            new ServerId(m.getServer()),
            LeaseEnd.RETURNED,
            -1,
            0,
            0));
  }

  /**
   * Takes a refusal.
   *
   * @param from the refusing router
   * @param session the session it was refused in
   * @param m the refusal
   */
  public void refused(NodeId from, long session, RefusalMessage m) {
    if (!counts(ScheduleCodec.fromWire(m.getShard()), from, session)) {
      return;
    }
    Waiting w = tickets.removeWaiting(m.getSequence());
    if (w != null) {
      w.listener.refused(ScheduleCodec.reason(m.getReason()), m.getRetryAfterMillis());
    }
  }

  private boolean counts(ShardId shard, NodeId from, long session) {
    FollowedShard f = followed.get(shard);
    if (f == null || !f.isCurrent(from, session)) {
      return false;
    }
    f.countReceived();
    return true;
  }

  /**
   * Takes a preemption.
   *
   * @param from the scheduler
   * @param session the session it was sent in
   * @param m the preemption
   */
  public void preempted(NodeId from, long session, PreemptMessage m) {
    if (!counts(ScheduleCodec.fromWire(m.getShard()), from, session)) {
      return;
    }
    Held h = tickets.findHeld(m.getSequence());
    if (h != null && h.isOf(m.getLease())) {
      h.listener().preempted();
    }
  }

  /**
   * Notes that a router does not hold the role this process thought it had.
   *
   * @param from the router
   * @param session the session it declines
   * @param shard the shard
   */
  public void notScheduler(NodeId from, long session, ShardId shard) {
    FollowedShard f = followed.get(shard);
    if (f != null && f.isCurrent(from, session)) {
      f.declined(session, clock.nanos());
    }
  }

  /**
   * Registers again, as the scheduler asks: it is new, or messages were lost.
   *
   * @param from the scheduler
   * @param session the session that it can't go on with, or 0 for any
   * @param shard the shard
   */
  public void resync(NodeId from, long session, ShardId shard) {
    FollowedShard f = followed.get(shard);
    if (f == null) {
      follow(shard);
    } else if (f.scheduler.equals(from) && (session == 0 || session == f.session)) {
      register(f);
    }
  }

  /**
   * Compares the scheduler's count of sent messages with what has come; registers again on a loss.
   *
   * @param from the scheduler
   * @param session the session
   * @param shard the shard
   * @param sent messages that the scheduler sent in the session
   */
  public void checkpointReply(NodeId from, long session, ShardId shard, long sent) {
    FollowedShard f = followed.get(shard);
    if (f != null && f.isCurrent(from, session) && f.isOpen() && !f.confirm(sent)) {
      register(f);
    }
  }

  /** Opens sessions, sends checkpoints and what waits unsent, and refuses what is too late. */
  public void tick() {
    long now = clock.nanos();
    Set<ShardId> busy = tickets.shardsInUse();
    for (FollowedShard f : List.copyOf(followed.values())) {
      if (f.isDue(now)) {
        renew(f, busy.contains(f.shard), now);
      }
    }
    for (Waiting w : tickets.allWaiting()) {
      FollowedShard f = followed.get(w.request.shard());
      boolean open = f != null && f.isOpen();
      if (isPastDeadline(w, open)) {
        withdraw(w);
        RefusalReason why = open ? RefusalReason.DEADLINE : RefusalReason.NO_SCHEDULER;
        w.listener.refused(why, RETRY_AFTER_MILLIS);
      } else if (f != null) {
        sendIfOpen(f, w);
      }
    }
  }

  private void renew(FollowedShard f, boolean busy, long now) {
    if (f.isOpen()) {
      if (busy || f.isUnconfirmed()) {
        sendCheckpoint(f, f.checkpoint(now));
      }
    } else if (f.isDeclined()) {
      f.retryLater(now);
      sendCheckpoint(f, 0);
    } else {
      register(f);
    }
  }

  private void sendCheckpoint(FollowedShard f, long sent) {
    ScheduleMessage m = ScheduleCodec.checkpoint(f.shard, sent);
    sender.send(f.scheduler, ScheduleCodec.inSession(m, f.session));
  }

  private boolean isPastDeadline(Waiting w, boolean open) {
    ClassSpec spec = snapshot.config().classes().get(w.request.serviceClass());
    long deadline = spec == null ? UNKNOWN_CLASS_DEADLINE_MILLIS : spec.deadline().toMillis();
    return tickets.waitedMillis(w) >= deadline + (open ? REFUSAL_GRACE_MILLIS : 0);
  }

  /**
   * Returns how many requests wait here.
   *
   * @return a count
   */
  public int waiting() {
    return tickets.waitingCount();
  }

  /**
   * Returns how many leases are in use here.
   *
   * @return a count
   */
  public int held() {
    return tickets.heldCount();
  }
}
