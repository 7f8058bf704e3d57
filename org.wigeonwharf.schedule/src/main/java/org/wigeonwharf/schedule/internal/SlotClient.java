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
 * Requests slots from the shard schedulers on behalf of one router and tracks its leases.
 *
 * <p>It keeps one session per shard: for every shard of its own failure domain, and for a shard of
 * another domain while it has a lease or a waiting request there. A session opens with a
 * registration of all leases and waiting requests in the shard. Messages of earlier sessions are
 * ignored; a grant from a router that is not the shard's current scheduler is returned unused. Each
 * {@link #acquire} assigns a new ticket, which identifies the request in all messages, so that a
 * late message of an earlier attempt has no effect on a later one. Not thread-safe.
 */
public final class SlotClient {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Time past its deadline that a request waits for the refusal from the scheduler. */
  private static final long REFUSAL_GRACE_MILLIS = 250;

  /** Deadline of a request whose class is not in the configuration. */
  private static final long UNKNOWN_CLASS_DEADLINE_MILLIS = 1_000;

  private final NodeId self;
  private final Clock clock;
  private final MessageSender sender;
  private final SlotTickets tickets;
  private final Map<ShardId, SchedulerSession> sessions = new TreeMap<>();
  private @Nullable MembershipView view;
  private Snapshot snapshot = Snapshot.NONE;
  private ShardMap shards = ShardMap.of(Snapshot.NONE.config());
  private long lastSession;

  /**
   * Creates a client.
   *
   * @param self this process
   * @param clock monotonic time
   * @param sender sends messages to schedulers
   */
  public SlotClient(NodeId self, Clock clock, MessageSender sender) {
    this.self = self;
    this.clock = clock;
    this.sender = sender;
    this.tickets = new SlotTickets(self, clock);
  }

  /**
   * Applies a new configuration.
   *
   * @param next the snapshot in force
   */
  public void configure(Snapshot next) {
    snapshot = next;
    shards = ShardMap.of(next.config());
    updateSessions();
  }

  /**
   * Applies a new membership view.
   *
   * @param next the view
   */
  public void view(MembershipView next) {
    view = next;
    updateSessions();
  }

  /** Closes all sessions after a pause, since messages that arrive now may be out of date. */
  public void handlePause() {
    sessions.values().forEach(s -> s.markDeclined(++lastSession, clock.nanos()));
  }

  private void updateSessions() {
    Set<ShardId> required = requiredShards();
    sessions.keySet().retainAll(required);
    required.forEach(this::updateSession);
  }

  private Set<ShardId> requiredShards() {
    Set<ShardId> required = new HashSet<>();
    Optional<FailureDomain> domain = ownDomain();
    shards.shards().keySet().stream()
        .filter(s -> domain.filter(s.domain()::equals).isPresent())
        .forEach(required::add);
    required.addAll(tickets.shardsInUse());
    return required;
  }

  private Optional<FailureDomain> ownDomain() {
    return view == null
        ? Optional.empty()
        : view.members().stream()
            .filter(m -> m.peer().node().equals(self))
            .map(m -> m.peer().domain())
            .findFirst();
  }

  private void updateSession(ShardId shard) {
    Optional<NodeId> scheduler = view == null ? Optional.empty() : view.schedulerOf(shard);
    if (scheduler.isEmpty()) {
      sessions.remove(shard);
      return;
    }
    SchedulerSession current = sessions.get(shard);
    if (current == null || !current.scheduler.equals(scheduler.get())) {
      SchedulerSession s = new SchedulerSession(shard, scheduler.get());
      sessions.put(shard, s);
      register(s);
    }
  }

  private void register(SchedulerSession s) {
    long session = ++lastSession;
    Registration registration = tickets.registration(s.shard, session, snapshot.revision());
    ScheduleMessage m = ScheduleCodec.registration(s.shard, snapshot.revision(), registration);
    boolean connected = sender.send(s.scheduler, ScheduleCodec.inSession(m, session));
    s.registrationSent(session, connected, clock.nanos());
  }

  private void send(SchedulerSession s, ScheduleMessage m) {
    s.countSent();
    sender.send(s.scheduler, ScheduleCodec.inSession(m, s.number));
  }

  /**
   * Queues a request at its shard's scheduler.
   *
   * @param request the slot request
   * @param listener called with the decision
   */
  public void acquire(SlotRequest request, SlotListener listener) {
    Waiting w = tickets.add(request, listener);
    SchedulerSession s = sessions.get(request.shard());
    if (s == null) {
      updateSession(request.shard());
    } else {
      sendIfOpen(s, w);
    }
  }

  private void sendIfOpen(SchedulerSession s, Waiting w) {
    if (s.isOpen() && w.sentInSession != s.number) {
      w.sentInSession = s.number;
      send(s, ScheduleCodec.request(tickets.toWireRequest(w, snapshot.revision())));
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
    SchedulerSession s = sessions.get(w.request.shard());
    if (s != null && s.isOpen() && w.sentInSession == s.number) {
      send(s, ScheduleCodec.cancel(s.shard, tickets.idOf(w.ticket)));
    }
  }

  /**
   * Reports the end of a lease to the shard's current scheduler.
   *
   * @param outcome the outcome of the lease
   */
  public void end(Outcome outcome) {
    Held h = tickets.removeHeld(outcome.lease());
    SchedulerSession s = h == null ? null : sessions.get(outcome.shard());
    if (h != null && s != null && s.isOpen()) {
      send(s, ScheduleCodec.outcome(tickets.toWireOutcome(h, outcome)));
    }
  }

  /**
   * Handles a grant; a lease that cannot be used is returned, and a grant that the current
   * scheduler sent in an earlier session is ignored.
   *
   * @param from the router that granted the lease
   * @param session the session in which it was granted
   * @param m the grant
   */
  public void handleGrant(NodeId from, long session, GrantMessage m) {
    SchedulerSession s = sessions.get(ScheduleCodec.fromWire(m.getShard()));
    if (s == null || !s.scheduler.equals(from)) {
      sender.send(from, returnMessage(m));
      return;
    }
    if (!s.isCurrent(from, session)) {
      return;
    }
    s.countReceived();
    Waiting w = tickets.findWaiting(m.getSequence());
    if (w != null) {
      acceptGrant(s, w, m);
    } else if (!isHeld(m)) {
      send(s, returnMessage(m));
    }
  }

  private boolean isHeld(GrantMessage m) {
    Held h = tickets.findHeld(m.getSequence());
    return h != null && h.matches(m.getLease());
  }

  private void acceptGrant(SchedulerSession s, Waiting w, GrantMessage m) {
    ServerId server = new ServerId(m.getServer());
    Optional<BackendServer> backend = snapshot.config().server(s.shard.service(), server);
    if (backend.isEmpty()) {
      // The server is not in this router's configuration; asks again under a new ticket.
      send(s, returnMessage(m));
      tickets.assignNewTicket(w);
      return;
    }
    tickets.hold(w, m.getLease(), server);
    long expiresAtNanos = clock.nanos() + m.getStartWithinMillis() * Clock.NANOS_PER_MILLI;
    w.listener.granted(new Lease(w.request, w.ticket, backend.get(), expiresAtNanos));
  }

  private ScheduleMessage returnMessage(GrantMessage m) {
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
   * Handles a refusal.
   *
   * @param from the router that refused the request
   * @param session the session in which it was refused
   * @param m the refusal
   */
  public void handleRefusal(NodeId from, long session, RefusalMessage m) {
    if (!countIfCurrent(ScheduleCodec.fromWire(m.getShard()), from, session)) {
      return;
    }
    Waiting w = tickets.removeWaiting(m.getSequence());
    if (w != null) {
      w.listener.refused(ScheduleCodec.toReason(m.getReason()), m.getRetryAfterMillis());
    }
  }

  private boolean countIfCurrent(ShardId shard, NodeId from, long session) {
    SchedulerSession s = sessions.get(shard);
    if (s == null || !s.isCurrent(from, session)) {
      return false;
    }
    s.countReceived();
    return true;
  }

  /**
   * Handles a preemption.
   *
   * @param from the scheduler
   * @param session the session in which it was sent
   * @param m the preemption
   */
  public void handlePreemption(NodeId from, long session, PreemptMessage m) {
    if (!countIfCurrent(ScheduleCodec.fromWire(m.getShard()), from, session)) {
      return;
    }
    Held h = tickets.findHeld(m.getSequence());
    if (h != null && h.matches(m.getLease())) {
      h.listener().preempted();
    }
  }

  /**
   * Handles the message that a router is not the scheduler of a shard.
   *
   * @param from the router
   * @param session the declined session
   * @param shard the shard
   */
  public void handleNotScheduler(NodeId from, long session, ShardId shard) {
    SchedulerSession s = sessions.get(shard);
    if (s != null && s.isCurrent(from, session)) {
      s.markDeclined(session, clock.nanos());
    }
  }

  /**
   * Registers again at the request of the scheduler, because it is new or messages were lost.
   *
   * @param from the scheduler
   * @param session the session to replace, or 0 for any
   * @param shard the shard
   */
  public void handleResync(NodeId from, long session, ShardId shard) {
    SchedulerSession s = sessions.get(shard);
    if (s == null) {
      updateSession(shard);
    } else if (s.scheduler.equals(from) && (session == 0 || session == s.number)) {
      register(s);
    }
  }

  /**
   * Compares the scheduler's count of sent messages with the number received; registers again if
   * they differ.
   *
   * @param from the scheduler
   * @param session the session
   * @param shard the shard
   * @param sent number of messages that the scheduler sent in the session
   */
  public void handleCheckpointReply(NodeId from, long session, ShardId shard, long sent) {
    SchedulerSession s = sessions.get(shard);
    if (s != null && s.isCurrent(from, session) && s.isOpen() && !s.confirm(sent)) {
      register(s);
    }
  }

  /** Opens sessions, sends checkpoints and unsent requests and refuses requests past a deadline. */
  public void tick() {
    long now = clock.nanos();
    Set<ShardId> busy = tickets.shardsInUse();
    for (SchedulerSession s : List.copyOf(sessions.values())) {
      if (s.isDue(now)) {
        maintain(s, busy.contains(s.shard), now);
      }
    }
    for (Waiting w : tickets.allWaiting()) {
      SchedulerSession s = sessions.get(w.request.shard());
      boolean open = s != null && s.isOpen();
      if (isPastDeadline(w, open)) {
        withdraw(w);
        RefusalReason reason = open ? RefusalReason.DEADLINE : RefusalReason.NO_SCHEDULER;
        w.listener.refused(reason, RETRY_AFTER_MILLIS);
      } else if (s != null) {
        sendIfOpen(s, w);
      }
    }
  }

  private void maintain(SchedulerSession s, boolean busy, long now) {
    if (s.isOpen()) {
      if (busy || s.isUnconfirmed()) {
        sendCheckpoint(s, s.startCheckpoint(now));
      }
    } else if (s.isDeclined()) {
      s.scheduleRetry(now);
      sendCheckpoint(s, 0);
    } else {
      register(s);
    }
  }

  private void sendCheckpoint(SchedulerSession s, long sent) {
    ScheduleMessage m = ScheduleCodec.checkpoint(s.shard, sent);
    sender.send(s.scheduler, ScheduleCodec.inSession(m, s.number));
  }

  private boolean isPastDeadline(Waiting w, boolean open) {
    ClassSpec spec = snapshot.config().classes().get(w.request.serviceClass());
    long deadline = spec == null ? UNKNOWN_CLASS_DEADLINE_MILLIS : spec.deadline().toMillis();
    return tickets.waitedMillis(w) >= deadline + (open ? REFUSAL_GRACE_MILLIS : 0);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests
   */
  public int waiting() {
    return tickets.waitingCount();
  }

  /**
   * Returns the number of leases in use.
   *
   * @return the number of leases
   */
  public int held() {
    return tickets.heldCount();
  }
}
