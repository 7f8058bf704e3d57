package org.wigeonwharf.schedule.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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
import org.wigeonwharf.schedule.Decision;
import org.wigeonwharf.schedule.HeldLease;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.ShardMap;
import org.wigeonwharf.schedule.ShardScheduler;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * A SchedulerHost runs the shard schedulers that this router has the role of.
 *
 * <p>A new scheduler grants nothing until every live router of the failure domain has registered
 * its leases, or a settle time is over. Not thread-safe.
 */
public final class SchedulerHost {
  /** Longest wait for routers to register with a new scheduler. */
  public static final long SETTLE_NANOS = 500 * Clock.NANOS_PER_MILLI;

  /** How long the leases of a vanished router count as busy. */
  public static final long ORPHAN_NANOS = 3 * Clock.NANOS_PER_SECOND;

  private static final Logger LOG = LoggerFactory.getLogger(SchedulerHost.class);

  private final NodeId self;
  private final Clock clock;
  private final MessageSender sender;
  private final Map<ShardId, Hosted> hosted = new TreeMap<>();
  private final Map<NodeId, Long> vanished = new HashMap<>();
  private Set<NodeId> known = Set.of();
  private @Nullable MembershipView view;
  private Snapshot snapshot = Snapshot.NONE;
  private ShardMap shards = ShardMap.of(Snapshot.NONE.config());

  private static final class Hosted {
    final ShardScheduler scheduler;
    final long settledAtNanos;
    final Set<NodeId> registered = new HashSet<>();
    boolean settled;

    Hosted(ShardScheduler scheduler, long settledAtNanos) {
      this.scheduler = scheduler;
      this.settledAtNanos = settledAtNanos;
    }
  }

  /**
   * Creates a host without any role.
   *
   * @param self the own process
   * @param clock monotonic time
   * @param sender passes decisions to routers
   */
  public SchedulerHost(NodeId self, Clock clock, MessageSender sender) {
    this.self = self;
    this.clock = clock;
    this.sender = sender;
  }

  /**
   * Takes a new configuration into force in every hosted scheduler.
   *
   * @param next the snapshot in force
   */
  public void configure(Snapshot next) {
    snapshot = next;
    shards = ShardMap.of(next.config());
    updateRoles();
    hosted.forEach(
        (shard, h) -> send(shard, h.scheduler.configure(next.config(), serversOf(shard))));
  }

  private List<BackendServer> serversOf(ShardId shard) {
    return shards.shards().getOrDefault(shard, List.of());
  }

  /**
   * Takes a new view of the fleet.
   *
   * @param next the view
   */
  public void view(MembershipView next) {
    view = next;
    Set<NodeId> live = new HashSet<>();
    next.members().forEach(m -> live.add(m.peer().node()));
    for (NodeId n : known) {
      if (!live.contains(n)) {
        vanished.put(n, clock.nanos());
        hosted.values().forEach(h -> h.scheduler.nodeGone(n));
      }
    }
    vanished.keySet().removeAll(live);
    known = live;
    updateRoles();
  }

  private void updateRoles() {
    hosted.keySet().removeIf(s -> !isScheduler(s));
    for (ShardId shard : shards.shards().keySet()) {
      if (isScheduler(shard) && !hosted.containsKey(shard)) {
        take(shard);
      }
    }
    hosted.forEach(this::settleIfReady);
  }

  private void take(ShardId shard) {
    LOG.atInfo()
        .addKeyValue("event", "scheduler.taken")
        .addKeyValue("shard", shard)
        .log("scheduler role taken");
    ShardScheduler s = new ShardScheduler(shard, clock);
    s.setGranting(false);
    s.configure(snapshot.config(), serversOf(shard));
    hosted.put(shard, new Hosted(s, clock.nanos() + SETTLE_NANOS));
  }

  private boolean isScheduler(ShardId shard) {
    return view != null
        && shards.shards().containsKey(shard)
        && view.schedulerOf(shard).filter(self::equals).isPresent();
  }

  private void settleIfReady(ShardId shard, Hosted h) {
    if (h.settled || view == null) {
      return;
    }
    boolean all = h.registered.containsAll(view.candidates(shard.domain()));
    if (all || clock.nanos() - h.settledAtNanos >= 0) {
      h.settled = true;
      send(shard, h.scheduler.setGranting(true));
    }
  }

  /**
   * Takes a slot request.
   *
   * @param request the request
   */
  public void request(SlotRequest request) {
    Hosted h = hosted.get(request.shard());
    if (h == null) {
      RequestId id = request.id();
      sender.send(id.origin(), ScheduleCodec.notScheduler(request.shard(), id));
      return;
    }
    send(request.shard(), h.scheduler.request(request));
  }

  /**
   * Withdraws a waiting request.
   *
   * @param shard its shard
   * @param id the request
   */
  public void cancel(ShardId shard, RequestId id) {
    Hosted h = hosted.get(shard);
    if (h != null) {
      h.scheduler.cancel(id);
    }
  }

  /**
   * Takes the end of a lease.
   *
   * @param outcome how it ended
   */
  public void outcome(Outcome outcome) {
    Hosted h = hosted.get(outcome.shard());
    if (h != null) {
      send(outcome.shard(), h.scheduler.outcome(outcome));
    }
  }

  /**
   * Notes a lease that a former scheduler granted.
   *
   * @param shard the shard
   * @param lease the lease
   */
  public void held(ShardId shard, HeldLease lease) {
    Hosted h = hosted.get(shard);
    if (h != null) {
      h.scheduler.hold(lease);
    }
  }

  /**
   * Notes that a router has told of all its leases and waiting requests.
   *
   * @param shard the shard
   * @param from the router
   */
  public void registered(ShardId shard, NodeId from) {
    Hosted h = hosted.get(shard);
    if (h != null) {
      h.registered.add(from);
      settleIfReady(shard, h);
    }
  }

  /** Ends settle times, refuses late waiters and frees orphaned leases. */
  public void tick() {
    long now = clock.nanos();
    List<NodeId> expired =
        vanished.entrySet().stream()
            .filter(e -> now - e.getValue() >= ORPHAN_NANOS)
            .map(Map.Entry::getKey)
            .toList();
    vanished.keySet().removeAll(expired);
    hosted.forEach(
        (shard, h) -> {
          settleIfReady(shard, h);
          expired.forEach(n -> send(shard, h.scheduler.expire(n)));
          send(shard, h.scheduler.tick());
        });
  }

  private void send(ShardId shard, List<Decision> decisions) {
    for (Decision d : decisions) {
      sender.send(d.request().origin(), ScheduleCodec.decision(shard, d));
    }
  }

  /**
   * Returns the hosted schedulers, for the state dump.
   *
   * @return by shard
   */
  public Map<ShardId, ShardScheduler> schedulers() {
    Map<ShardId, ShardScheduler> result = new TreeMap<>();
    hosted.forEach((shard, h) -> result.put(shard, h.scheduler));
    return result;
  }
}
