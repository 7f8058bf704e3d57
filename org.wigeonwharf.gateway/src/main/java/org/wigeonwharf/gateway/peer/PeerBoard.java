package org.wigeonwharf.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.peer.wire.MemberNews;
import org.wigeonwharf.gateway.peer.wire.RouterNews;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/**
 * A PeerBoard knows the other routers and keeps them told of this router's work.
 *
 * <p>Routers find each other through a few seed addresses and the members that each message names.
 * Each message holds the sender's complete work, so that a lost one is made good by the next.
 * Routers of the own failure domain hear of changes at once, others now and then. Not safe for
 * threads.
 */
public final class PeerBoard {
  /** Least time in ms between two messages to routers of the own failure domain. */
  private static final long NEAR_MILLIS = 20;

  /** Time in ms between messages to routers of other failure domains, whose bytes are billed. */
  private static final long FAR_MILLIS = 400;

  /** Time in ms after which the own failure domain hears of this router even without changes. */
  private static final long HEARTBEAT_MILLIS = 400;

  /** Age in ms of the prompts that a near and a far message name: some messages' worth. */
  private static final long NEAR_READS_MILLIS = 100;

  private static final long FAR_READS_MILLIS = 1_300;

  /** Silence in ms after which a router counts as gone: several lost heartbeats in a row. */
  private static final long GONE_MILLIS = 2_500;

  /** Time in ms between messages to seeds that have not been heard. */
  private static final long SEED_MILLIS = 1_000;

  /** Members named in one message, so that it fits one packet. */
  private static final int NAMED_MEMBERS = 12;

  /** Routers of other failure domains that are told at a time, whatever the size of the fleet. */
  private static final int FAR_FANOUT = 12;

  private static final Logger LOG = LoggerFactory.getLogger(PeerBoard.class);

  private final NodeId self;
  private final FailureDomain domain;
  private final InetSocketAddress address;
  private List<InetSocketAddress> seeds;
  private final InFlightTracker ledger;
  private final PrefixCacheIndex prompts;
  private final NewsCodec codec;
  private final Clock clock;
  private final Random random;
  private final DatagramSender sender;
  private final LongSupplier configVersion;
  private final LongConsumer newerConfig;
  private final Map<InetSocketAddress, Member> members = new LinkedHashMap<>();
  private long sequence;
  private long toldChanges = -1;
  private long nearAt;
  private long farAt;
  private long seedsAt;
  private boolean leaving;

  /** A Member is another router as it was last heard. */
  private static final class Member {
    private final InetSocketAddress address;
    private FailureDomain domain;
    private NodeId node;
    private long sequence;
    private long heardAt;

    Member(InetSocketAddress address, FailureDomain domain, NodeId node) {
      this.address = address;
      this.domain = domain;
      this.node = node;
    }
  }

  /**
   * Creates a board that knows no other router.
   *
   * @param self the own process
   * @param domain the own failure domain
   * @param address where other routers reach this one
   * @param seeds where some routers may be found
   * @param ledger the work to tell, and where to note that of others
   * @param prompts the prompts that engines have read, to tell and to note
   * @param secret signs messages
   * @param clock monotonic time
   * @param random spreads messages over members
   * @param sender sends messages
   * @param configVersion the version of the routes in force
   * @param newerConfig called when another router has a newer version
   */
  PeerBoard(
      NodeId self,
      FailureDomain domain,
      InetSocketAddress address,
      List<InetSocketAddress> seeds,
      InFlightTracker ledger,
      PrefixCacheIndex prompts,
      FleetSecret secret,
      Clock clock,
      Random random,
      DatagramSender sender,
      LongSupplier configVersion,
      LongConsumer newerConfig) {
    this.self = self;
    this.domain = domain;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.ledger = ledger;
    this.prompts = prompts;
    this.codec = new NewsCodec(secret);
    this.clock = clock;
    this.random = random;
    this.sender = sender;
    this.configVersion = configVersion;
    this.newerConfig = newerConfig;
    long now = clock.nanos();
    this.nearAt = now;
    this.farAt = now;
    this.seedsAt = now - millis(SEED_MILLIS);
  }

  private static long millis(long n) {
    return n * Clock.NANOS_PER_MILLI;
  }

  /** Sends what is due; called every few milliseconds. */
  void tick() {
    long now = clock.nanos();
    expire(now);
    long sinceNear = now - nearAt;
    boolean changed = ledger.localChanges() != toldChanges;
    if (sinceNear >= millis(HEARTBEAT_MILLIS) || changed && sinceNear >= millis(NEAR_MILLIS)) {
      nearAt = now;
      toldChanges = ledger.localChanges();
      tell(select(true, Integer.MAX_VALUE), NEAR_READS_MILLIS);
    }
    if (now - farAt >= millis(FAR_MILLIS)) {
      farAt = now;
      tell(select(false, FAR_FANOUT), FAR_READS_MILLIS);
    }
    if (now - seedsAt >= millis(SEED_MILLIS)) {
      seedsAt = now;
      tell(seeds.stream().filter(s -> !members.containsKey(s) && !s.equals(address)).toList(), 0);
    }
  }

  private void expire(long now) {
    for (Member m : List.copyOf(members.values())) {
      if (now - m.heardAt > millis(GONE_MILLIS)) {
        drop(m, "silent");
      }
    }
  }

  private void drop(Member m, String reason) {
    members.remove(m.address);
    ledger.removePeer(m.node.name());
    log("peer.lost", m, reason);
  }

  private List<InetSocketAddress> select(boolean near, int most) {
    List<InetSocketAddress> found = new ArrayList<>();
    for (Member m : members.values()) {
      if (m.domain.equals(domain) == near) {
        found.add(m.address);
      }
    }
    if (found.size() > most) {
      Collections.shuffle(found, random);
      return found.subList(0, most);
    }
    return found;
  }

  private void tell(Collection<InetSocketAddress> receivers, long readsMillis) {
    if (receivers.isEmpty()) {
      return;
    }
    byte[] bytes = codec.encode(news(millis(readsMillis)));
    receivers.forEach(r -> sender.send(r, bytes));
  }

  private RouterNews news(long readsNanos) {
    RouterNews.Builder b =
        RouterNews.newBuilder()
            .setName(self.name())
            .setIncarnation(self.incarnation())
            .setSequence(++sequence)
            .setSelf(member(address, domain))
            .setConfigVersion(configVersion.getAsLong())
            .setLeaving(leaving);
    ledger.localWork().forEach((server, work) -> b.addWork(NewsCodec.encodeWork(server, work)));
    prompts
        .recentSends(readsNanos, clock.nanos())
        .forEach((server, parts) -> b.addReads(NewsCodec.encodeReads(server, parts)));
    List<Member> named = new ArrayList<>(members.values());
    Collections.shuffle(named, random);
    named.stream().limit(NAMED_MEMBERS).forEach(m -> b.addMembers(member(m.address, m.domain)));
    return b.build();
  }

  private static MemberNews member(InetSocketAddress address, FailureDomain domain) {
    return MemberNews.newBuilder()
        .setAddress(Addresses.format(address))
        .setFailureDomain(domain.value())
        .build();
  }

  /**
   * Takes a datagram from another router.
   *
   * @param datagram the received bytes
   */
  void receive(byte[] datagram) {
    try {
      take(codec.decode(datagram));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      LOG.atWarn()
          .addKeyValue("event", "peer.message_refused")
          .addKeyValue("reason", String.valueOf(e.getMessage()))
          .log("message ignored");
    }
  }

  private void take(RouterNews news) {
    NodeId node = new NodeId(news.getName(), news.getIncarnation());
    if (node.equals(self)) {
      return;
    }
    InetSocketAddress from = Addresses.parse(news.getSelf().getAddress());
    FailureDomain of = new FailureDomain(news.getSelf().getFailureDomain());
    Member m = members.get(from);
    if (m == null) {
      m = new Member(from, of, node);
      members.put(from, m);
      log("peer.found", m, "heard");
    } else if (m.node.equals(node) && news.getSequence() <= m.sequence) {
      return;
    }
    m.node = node;
    m.domain = of;
    m.sequence = news.getSequence();
    long now = clock.nanos();
    m.heardAt = now;
    if (news.getLeaving()) {
      drop(m, "leaving");
      return;
    }
    ledger.replacePeerWork(node.name(), NewsCodec.decodeWork(news), now);
    prompts.recordPeerSends(NewsCodec.decodeReads(news));
    if (news.getConfigVersion() > configVersion.getAsLong()) {
      newerConfig.accept(news.getConfigVersion());
    }
    news.getMembersList().forEach(this::greet);
  }

  private void greet(MemberNews member) {
    InetSocketAddress a = Addresses.parse(member.getAddress());
    if (!a.equals(address) && !members.containsKey(a)) {
      tell(List.of(a), 0);
    }
  }

  /**
   * Replaces the seeds.
   *
   * @param next where some routers may be found
   */
  public void seeds(List<InetSocketAddress> next) {
    seeds = List.copyOf(next);
  }

  /** Tells all known routers that this one leaves. */
  void leave() {
    leaving = true;
    tell(List.copyOf(members.keySet()), 0);
  }

  /** Returns the number of other routers that are heard. */
  public int size() {
    return members.size();
  }

  private void log(String event, Member m, String reason) {
    LOG.atInfo()
        .addKeyValue("event", event)
        .addKeyValue("peer", m.node.toString())
        .addKeyValue("failure_domain", m.domain.value())
        .addKeyValue("age_ms", (clock.nanos() - m.heardAt) / Clock.NANOS_PER_MILLI)
        .addKeyValue("reason", reason)
        .log("router");
  }
}
