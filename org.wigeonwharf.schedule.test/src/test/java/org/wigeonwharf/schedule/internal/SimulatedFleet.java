package org.wigeonwharf.schedule.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.wigeonwharf.config.ConfigParser;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/** Simulates routers, with real clients and schedulers, on a seeded network in virtual time. */
final class SimulatedFleet {
  static final int SLOTS = 2;
  static final int SERVERS = 4;
  static final int SERVICES = 2;
  static final long TICK_MILLIS = 20;

  private static final FailureDomain LOCAL = new FailureDomain("d0");
  private static final FailureDomain REMOTE = new FailureDomain("d1");
  private static final long FAILURE_DETECTION_MILLIS = 1_500;

  final Random random;
  final Map<NodeId, SimulatedRouter> routers = new LinkedHashMap<>();
  final Map<ServerId, Integer> inUse = new HashMap<>();
  final Snapshot snapshot = snapshot();
  long lastDisturbanceMillis;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
  private final Map<Link, Long> lastDelivery = new HashMap<>();

  /** Incremented to drop the messages in flight on a link. */
  private final Map<Link, Integer> epochs = new HashMap<>();

  private final Set<Link> partitions = new HashSet<>();

  // The clock overflows three seconds into a run, as System.nanoTime() may.
  private long nowNanos = Long.MAX_VALUE - 3 * Clock.NANOS_PER_SECOND;
  private final long originNanos = nowNanos;
  private long nextEventNumber;

  private record Event(long atNanos, long number, Runnable task) {}

  private record Link(NodeId from, NodeId to) {}

  SimulatedFleet(long seed) {
    random = new Random(seed);
  }

  private static Snapshot snapshot() {
    StringBuilder text =
        new StringBuilder(
            """
            [tiers.t]
            rank = 0
            [classes.c]
            tier = "t"
            first_token_target = "1s"
            deadline = "5s"
            [accounts.a]
            token_sha256 = \
            ["84023add5de2a3bf79ef31beff08a57e0b9ac06464a67f56546528bcee96a2fa"]
            classes = ["c"]
            default_class = "c"
            """);
    for (int i = 0; i < SERVICES; i++) {
      text.append("[services.s%d]\nkind = \"model\"\nwaiting_places = 100\n".formatted(i));
    }
    for (int i = 0; i < SERVERS; i++) {
      text.append(
          "[services.s%d.servers.x%d]\naddress = \"127.0.0.1:1\"\ndomain = \"d0\"\nslots = %d\n"
              .formatted(i % SERVICES, i, SLOTS));
    }
    List<SettingsFile> files = List.of(new SettingsFile("a.toml", text.toString()));
    return new Snapshot(1, files, ConfigParser.parse(files).get());
  }

  long nanos() {
    return nowNanos;
  }

  long millis() {
    return (nowNanos - originNanos) / Clock.NANOS_PER_MILLI;
  }

  void after(long millis, Runnable task) {
    schedule(nowNanos + millis * Clock.NANOS_PER_MILLI, task);
  }

  private void schedule(long at, Runnable task) {
    events.add(new Event(at - originNanos, nextEventNumber++, task));
  }

  void runFor(long millis) {
    long end = nowNanos - originNanos + millis * Clock.NANOS_PER_MILLI;
    while (!events.isEmpty() && events.peek().atNanos() <= end) {
      Event e = events.poll();
      nowNanos = originNanos + e.atNanos();
      e.task().run();
    }
    nowNanos = originNanos + end;
  }

  void recordDisturbance() {
    lastDisturbanceMillis = millis();
  }

  SimulatedRouter start(String name, boolean local) {
    NodeId node = new NodeId(name, 1 + random.nextInt(Integer.MAX_VALUE));
    Peer peer = new Peer(node, local ? LOCAL : REMOTE, new InetSocketAddress("127.0.0.1", 1));
    SimulatedRouter router = new SimulatedRouter(this, peer);
    routers.put(node, router);
    for (SimulatedRouter other : live()) {
      if (other != router) {
        connect(router, other);
      }
    }
    router.start();
    recordDisturbance();
    return router;
  }

  List<SimulatedRouter> live() {
    return routers.values().stream().filter(r -> !r.dead).toList();
  }

  private void connect(SimulatedRouter a, SimulatedRouter b) {
    updatePeerLater(a, b, 5);
    updatePeerLater(b, a, 5);
  }

  private void updatePeerLater(SimulatedRouter a, SimulatedRouter b, int maxDelayMillis) {
    after(1 + random.nextInt(maxDelayMillis), () -> a.runWhenResumed(() -> updatePeer(a, b)));
  }

  private void updatePeer(SimulatedRouter a, SimulatedRouter b) {
    boolean reachable = !b.dead && !b.paused && !partitions.contains(new Link(a.node(), b.node()));
    if (reachable ? a.peers.add(b.peer) : a.peers.remove(b.peer)) {
      a.applyView();
    }
  }

  /** Drops the messages in flight between two routers without closing their connection. */
  void dropInFlight(SimulatedRouter a, SimulatedRouter b) {
    epochs.merge(new Link(a.node(), b.node()), 1, Integer::sum);
    epochs.merge(new Link(b.node(), a.node()), 1, Integer::sum);
    recordDisturbance();
  }

  void partition(SimulatedRouter a, SimulatedRouter b) {
    partitions.add(new Link(a.node(), b.node()));
    partitions.add(new Link(b.node(), a.node()));
    dropInFlight(a, b);
    updatePeerLater(a, b, 300);
    updatePeerLater(b, a, 300);
  }

  void heal(SimulatedRouter a, SimulatedRouter b) {
    partitions.remove(new Link(a.node(), b.node()));
    partitions.remove(new Link(b.node(), a.node()));
    updatePeerLater(a, b, 300);
    updatePeerLater(b, a, 300);
    recordDisturbance();
  }

  void kill(SimulatedRouter r) {
    r.kill();
    live().forEach(other -> updatePeerLater(other, r, 50));
    recordDisturbance();
  }

  void pause(SimulatedRouter r) {
    r.pause();
    for (SimulatedRouter other : live()) {
      after(
          FAILURE_DETECTION_MILLIS + random.nextInt(100),
          () -> other.runWhenResumed(() -> updatePeer(other, r)));
    }
    recordDisturbance();
  }

  void resume(SimulatedRouter r) {
    r.resume();
    for (SimulatedRouter other : live()) {
      if (other != r) {
        updatePeerLater(other, r, 600);
        updatePeerLater(r, other, 600);
      }
    }
    recordDisturbance();
  }

  void leave(SimulatedRouter r) {
    r.leaving = true;
    r.applyView();
    live().forEach(o -> after(1 + random.nextInt(20), () -> o.runWhenResumed(o::applyView)));
    recordDisturbance();
  }

  MembershipView viewOf(SimulatedRouter r) {
    Set<Member> members = new TreeSet<>(Comparator.comparing(m -> m.peer().node()));
    members.add(new Member(r.peer, r.leaving, 1, 0));
    r.peers.forEach(
        p -> members.add(new Member(p, routers.get(p.node()).leaving && !p.equals(r.peer), 1, 0)));
    return new MembershipView(r.node(), new ArrayList<>(members));
  }

  boolean send(SimulatedRouter from, NodeId to, ScheduleMessage m) {
    Link link = new Link(from.node(), to);
    SimulatedRouter receiver = routers.get(to);
    boolean connected = from.peer.node().equals(to) || from.peers.contains(receiver.peer);
    if (!connected || receiver.dead) {
      return false;
    }
    int epoch = epochs.getOrDefault(link, 0);
    long delay = Clock.NANOS_PER_MILLI / 5 + random.nextInt(3_000_000);
    long at = Math.max(nowNanos - originNanos + delay, lastDelivery.getOrDefault(link, 0L));
    lastDelivery.put(link, at);
    schedule(originNanos + at, () -> deliver(link, epoch, receiver, m));
    return true;
  }

  private void deliver(Link link, int epoch, SimulatedRouter receiver, ScheduleMessage m) {
    if (epoch == epochs.getOrDefault(link, 0) && !partitions.contains(link)) {
      receiver.runWhenResumed(() -> receiver.messages.dispatch(link.from(), m));
    }
  }
}
