package org.wigeonwharf.config.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.config.wire.ConfigMessage;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;

/** Simulates routers in virtual time; random faults drop, duplicate and reorder their messages. */
final class VirtualRouters {
  final List<VirtualRouter> routers = new ArrayList<>();
  private final List<Delivery> inFlight = new ArrayList<>();
  private final Random random;
  private long nowNanos;

  private record Delivery(Peer from, VirtualRouter to, ConfigMessage message) {}

  final class VirtualRouter {
    final Peer peer;
    final ConfigStore store = new ConfigStore();
    private final Adopter adopter = new Adopter(store);
    private final SnapshotExchange exchange;

    VirtualRouter(String name, String domain, int port) {
      FailureDomain d = new FailureDomain(domain);
      peer = new Peer(new NodeId(name, 1), d, new InetSocketAddress("127.0.0.1", port));
      exchange =
          new SnapshotExchange(
              d,
              () -> view(peer.node()),
              store,
              adopter,
              (to, message) -> enqueue(peer, to, message),
              () -> nowNanos,
              random);
    }

    void readPublication(long revision, List<SettingsFile> files) {
      Snapshot before = store.current();
      if (adopter.offer(revision, files, "platform") == ConfigStore.OfferResult.ADOPTED) {
        exchange.push(store.current(), before, null);
      }
    }
  }

  VirtualRouters(int count, int domains, Random random) {
    this.random = random;
    for (int i = 0; i < count; i++) {
      routers.add(new VirtualRouter("vm" + i, "domain-" + i % domains, 1_000 + i));
    }
  }

  MembershipView view(NodeId self) {
    List<Member> members = new ArrayList<>();
    for (VirtualRouter r : routers) {
      members.add(new Member(r.peer, false, r.store.current().revision(), 0));
    }
    members.sort(Comparator.comparing(m -> m.peer().node()));
    return new MembershipView(self, members);
  }

  private boolean enqueue(Peer from, NodeId to, ConfigMessage message) {
    for (VirtualRouter r : routers) {
      if (r.peer.node().equals(to)) {
        inFlight.add(new Delivery(from, r, message));
      }
    }
    return true;
  }

  /** Delivers, duplicates or drops one random message. */
  void deliverUnreliably() {
    if (inFlight.isEmpty()) {
      return;
    }
    int index = random.nextInt(inFlight.size());
    switch (random.nextInt(4)) {
      case 0 -> inFlight.remove(index);
      case 1 -> deliver(inFlight.get(index));
      default -> deliver(inFlight.remove(index));
    }
  }

  private static void deliver(Delivery d) {
    d.to().exchange.onMessage(d.from(), d.message());
  }

  void sendNotice(VirtualRouter from) {
    from.exchange.sendNotice(routers.stream().filter(r -> r != from).map(r -> r.peer).toList());
  }

  /** Advances the clock by a number of ticks and delivers every message, in random order. */
  void runReliably(int ticks) {
    for (int t = 0; t < ticks; t++) {
      nowNanos += 100 * Clock.NANOS_PER_MILLI;
      routers.forEach(r -> r.exchange.tick());
      while (!inFlight.isEmpty()) {
        deliver(inFlight.remove(random.nextInt(inFlight.size())));
      }
    }
  }
}
