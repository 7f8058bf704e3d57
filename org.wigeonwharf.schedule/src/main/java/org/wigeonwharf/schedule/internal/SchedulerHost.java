package org.wigeonwharf.schedule.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ObjLongConsumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.ShardMap;
import org.wigeonwharf.schedule.ShardScheduler;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * Runs the schedulers of the shards for which this router has the scheduler role.
 *
 * <p>A new scheduler grants nothing until every live router of the failure domain has registered
 * its leases or a timeout has passed. Not thread-safe.
 */
public final class SchedulerHost {
  /** Time without roles after a pause of the process, so that the membership view catches up. */
  public static final long PAUSE_RECOVERY_NANOS = 300 * Clock.NANOS_PER_MILLI;

  private static final Logger LOG = LoggerFactory.getLogger(SchedulerHost.class);

  private final NodeId self;
  private final Clock clock;
  private final MessageSender sender;
  private final ObjLongConsumer<NodeId> newerRevisionListener;
  private final Map<ShardId, HostedShard> hosted = new TreeMap<>();
  private Set<NodeId> liveRouters = Set.of();
  private @Nullable MembershipView view;
  private @Nullable Long pausedUntilNanos;
  private Snapshot snapshot = Snapshot.NONE;
  private ShardMap shards = ShardMap.of(Snapshot.NONE.config());

  /**
   * Creates a host without any role.
   *
   * @param self this process
   * @param clock monotonic time
   * @param sender sends messages to routers
   * @param newerRevisionListener called with each router that has a newer configuration than this
   *     process, and with its revision
   */
  public SchedulerHost(
      NodeId self,
      Clock clock,
      MessageSender sender,
      ObjLongConsumer<NodeId> newerRevisionListener) {
    this.self = self;
    this.clock = clock;
    this.sender = sender;
    this.newerRevisionListener = newerRevisionListener;
  }

  /**
   * Applies a new configuration to every hosted scheduler.
   *
   * @param next the snapshot in force
   */
  public void configure(Snapshot next) {
    snapshot = next;
    shards = ShardMap.of(next.config());
    updateRoles();
    hosted.forEach((shard, h) -> h.configure(next, serversOf(shard)));
  }

  private List<BackendServer> serversOf(ShardId shard) {
    return shards.shards().getOrDefault(shard, List.of());
  }

  /**
   * Applies a new membership view.
   *
   * @param next the view
   */
  public void view(MembershipView next) {
    view = next;
    Set<NodeId> before = liveRouters;
    Set<NodeId> live = new HashSet<>();
    next.members().forEach(m -> live.add(m.peer().node()));
    liveRouters = live;
    before.stream()
        .filter(n -> !live.contains(n))
        .forEach(n -> hosted.values().forEach(h -> h.markAbsent(n)));
    live.stream()
        .filter(n -> !before.contains(n))
        .forEach(n -> hosted.values().forEach(h -> h.requestRegistration(n, 0)));
    updateRoles();
  }

  /** Gives up every role after a pause; other routers may have assumed them meanwhile. */
  public void handlePause() {
    hosted.clear();
    pausedUntilNanos = clock.nanos() + PAUSE_RECOVERY_NANOS;
  }

  private void updateRoles() {
    hosted.keySet().removeIf(s -> !isScheduler(s));
    for (ShardId shard : shards.shards().keySet()) {
      if (isScheduler(shard) && !hosted.containsKey(shard)) {
        assumeRole(shard);
      }
    }
    hosted.forEach((shard, h) -> h.startGrantingIfReady(routersOf(shard)));
  }

  private void assumeRole(ShardId shard) {
    LOG.atInfo()
        .addKeyValue("event", "scheduler.taken")
        .addKeyValue("shard", shard)
        .log("assumed the scheduler role of a shard");
    HostedShard h = new HostedShard(shard, clock, sender, newerRevisionListener);
    h.configure(snapshot, serversOf(shard));
    hosted.put(shard, h);
    liveRouters.forEach(n -> h.requestRegistration(n, 0));
  }

  private boolean isScheduler(ShardId shard) {
    return view != null
        && pausedUntilNanos == null
        && shards.shards().containsKey(shard)
        && view.schedulerOf(shard).filter(self::equals).isPresent();
  }

  private List<NodeId> routersOf(ShardId shard) {
    return view == null
        ? List.of()
        : view.members().stream()
            .filter(m -> m.peer().domain().equals(shard.domain()))
            .map(m -> m.peer().node())
            .toList();
  }

  private @Nullable HostedShard findOrDecline(ShardId shard, NodeId from, long session) {
    HostedShard h = hosted.get(shard);
    if (h == null) {
      sender.send(from, ScheduleCodec.inSession(ScheduleCodec.notScheduler(shard), session));
    }
    return h;
  }

  /**
   * Opens a router's session with its leases and waiting requests.
   *
   * @param shard the shard
   * @param from the router
   * @param session the session's number, higher than any earlier one of the router
   * @param registration the router's leases and waiting requests in the shard
   */
  void register(ShardId shard, NodeId from, long session, Registration registration) {
    HostedShard h = findOrDecline(shard, from, session);
    if (h != null) {
      h.register(from, session, registration);
      h.startGrantingIfReady(routersOf(shard));
    }
  }

  /**
   * Submits a slot request.
   *
   * @param session the router's session
   * @param request the request
   */
  public void submit(long session, SlotRequest request) {
    HostedShard h = findOrDecline(request.shard(), request.id().origin(), session);
    if (h != null) {
      h.submit(session, request);
    }
  }

  /**
   * Withdraws a waiting request.
   *
   * @param shard its shard
   * @param session the router's session
   * @param id the request
   */
  public void cancel(ShardId shard, long session, RequestId id) {
    HostedShard h = hosted.get(shard);
    if (h != null) {
      h.cancel(session, id);
    }
  }

  /**
   * Records the end of a lease.
   *
   * @param session the router's session
   * @param outcome the outcome of the lease
   */
  public void recordOutcome(long session, Outcome outcome) {
    HostedShard h = hosted.get(outcome.shard());
    if (h != null) {
      h.recordOutcome(session, outcome);
    }
  }

  /**
   * Compares a router's count of sent messages with the number received and replies with the number
   * of messages sent to it; asks for a registration if the counts differ.
   *
   * @param shard the shard
   * @param from the router
   * @param session the router's session
   * @param sent number of messages that the router sent in the session
   */
  public void checkpoint(ShardId shard, NodeId from, long session, long sent) {
    HostedShard h = findOrDecline(shard, from, session);
    if (h != null) {
      h.checkpoint(from, session, sent);
    }
  }

  /** Applies the timeouts: pause recovery, registration, orphaned leases, request deadlines. */
  public void tick() {
    if (pausedUntilNanos != null && clock.nanos() - pausedUntilNanos >= 0) {
      pausedUntilNanos = null;
      updateRoles();
    }
    hosted.forEach(
        (shard, h) -> {
          h.startGrantingIfReady(routersOf(shard));
          h.tick(liveRouters);
        });
  }

  /**
   * Returns the hosted schedulers, for the state dump.
   *
   * @return the schedulers by shard
   */
  public Map<ShardId, ShardScheduler> schedulers() {
    Map<ShardId, ShardScheduler> result = new TreeMap<>();
    hosted.forEach((shard, h) -> result.put(shard, h.scheduler()));
    return result;
  }
}
