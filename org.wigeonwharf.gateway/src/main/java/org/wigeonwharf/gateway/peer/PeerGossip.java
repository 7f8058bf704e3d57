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
 * Exchanges state with the other routers by a gossip protocol and tracks which of them are alive.
 *
 * <p>Routers discover each other through a few seed addresses and the peers that each message
 * lists. Each message holds the sender's complete in-flight work, so that the next one makes up for
 * a lost one. Changes are sent to routers of the same failure domain almost immediately, and to
 * those of other domains at a fixed interval. Not thread-safe.
 */
public final class PeerGossip {
  /** Minimum time in ms between two messages to routers of the same failure domain. */
  private static final long SAME_DOMAIN_MIN_INTERVAL_MILLIS = 20;

  /**
   * Time in ms between messages to routers of other failure domains. Traffic between failure
   * domains is billed.
   */
  private static final long OTHER_DOMAIN_INTERVAL_MILLIS = 400;

  /** Time in ms between messages to the same failure domain while nothing changes. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 400;

  /**
   * Maximum age in ms of the prompt sends in a message to the same failure domain. It spans several
   * messages, so that a lost one is made up for.
   */
  private static final long SAME_DOMAIN_SENDS_MAX_AGE_MILLIS = 100;

  /**
   * Maximum age in ms of the prompt sends in a message to other failure domains. It also spans
   * several messages.
   */
  private static final long OTHER_DOMAIN_SENDS_MAX_AGE_MILLIS = 1_300;

  /**
   * Time in ms without a message after which a peer is removed: several lost heartbeats in a row.
   */
  private static final long PEER_TIMEOUT_MILLIS = 2_500;

  /** Time in ms between messages to seeds that are not known as peers. */
  private static final long SEED_INTERVAL_MILLIS = 1_000;

  /** Maximum number of peers listed in one message, so that it fits in one packet. */
  private static final int MAX_ADVERTISED_PEERS = 12;

  /**
   * Maximum number of receivers in other failure domains per interval, which bounds the traffic in
   * fleets of any size.
   */
  private static final int OTHER_DOMAIN_FANOUT = 12;

  private static final Logger LOG = LoggerFactory.getLogger(PeerGossip.class);

  private final NodeId self;
  private final FailureDomain domain;
  private final InetSocketAddress address;
  private List<InetSocketAddress> seeds;
  private final InFlightTracker inFlight;
  private final PrefixCacheIndex prefixCaches;
  private final GossipCodec codec;
  private final Clock clock;
  private final Random random;
  private final DatagramSender sender;
  private final LongSupplier configVersion;
  private final LongConsumer onNewerConfig;
  private final Map<InetSocketAddress, Peer> peers = new LinkedHashMap<>();
  private long sequence;
  private long sentChangeCount = -1;
  private long sameDomainSentAt;
  private long otherDomainsSentAt;
  private long seedsSentAt;
  private boolean leaving;

  /** Holds what another router stated in its last message. */
  private static final class Peer {
    private final InetSocketAddress address;
    private FailureDomain domain;
    private NodeId node;
    private long sequence;
    private long receivedAt;

    Peer(InetSocketAddress address, FailureDomain domain, NodeId node) {
      this.address = address;
      this.domain = domain;
      this.node = node;
    }
  }

  /**
   * Creates an instance that knows no other router.
   *
   * @param self this process
   * @param domain this router's failure domain
   * @param address the address at which other routers reach this one
   * @param seeds addresses of some routers, for discovery
   * @param inFlight supplies this router's in-flight work and receives that of its peers
   * @param prefixCaches supplies this router's prompt sends and receives those of its peers
   * @param secret signs and verifies messages
   * @param clock monotonic clock
   * @param random chooses receivers and the peers to list
   * @param sender sends messages
   * @param configVersion supplies the version of the active configuration
   * @param onNewerConfig called with the version of a peer's configuration if it is newer
   */
  PeerGossip(
      NodeId self,
      FailureDomain domain,
      InetSocketAddress address,
      List<InetSocketAddress> seeds,
      InFlightTracker inFlight,
      PrefixCacheIndex prefixCaches,
      FleetSecret secret,
      Clock clock,
      Random random,
      DatagramSender sender,
      LongSupplier configVersion,
      LongConsumer onNewerConfig) {
    this.self = self;
    this.domain = domain;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.inFlight = inFlight;
    this.prefixCaches = prefixCaches;
    this.codec = new GossipCodec(secret);
    this.clock = clock;
    this.random = random;
    this.sender = sender;
    this.configVersion = configVersion;
    this.onNewerConfig = onNewerConfig;
    long now = clock.nanos();
    this.sameDomainSentAt = now;
    this.otherDomainsSentAt = now;
    this.seedsSentAt = now - toNanos(SEED_INTERVAL_MILLIS);
  }

  private static long toNanos(long millis) {
    return millis * Clock.NANOS_PER_MILLI;
  }

  /** Sends the messages that are due and removes expired peers; called every few milliseconds. */
  void tick() {
    long now = clock.nanos();
    expirePeers(now);
    long sinceSent = now - sameDomainSentAt;
    boolean changed = inFlight.localChangeCount() != sentChangeCount;
    if (sinceSent >= toNanos(HEARTBEAT_INTERVAL_MILLIS)
        || changed && sinceSent >= toNanos(SAME_DOMAIN_MIN_INTERVAL_MILLIS)) {
      sameDomainSentAt = now;
      sentChangeCount = inFlight.localChangeCount();
      sendState(selectPeers(true, Integer.MAX_VALUE), SAME_DOMAIN_SENDS_MAX_AGE_MILLIS);
    }
    if (now - otherDomainsSentAt >= toNanos(OTHER_DOMAIN_INTERVAL_MILLIS)) {
      otherDomainsSentAt = now;
      sendState(selectPeers(false, OTHER_DOMAIN_FANOUT), OTHER_DOMAIN_SENDS_MAX_AGE_MILLIS);
    }
    if (now - seedsSentAt >= toNanos(SEED_INTERVAL_MILLIS)) {
      seedsSentAt = now;
      sendState(
          seeds.stream().filter(s -> !peers.containsKey(s) && !s.equals(address)).toList(), 0);
    }
  }

  private void expirePeers(long now) {
    for (Peer peer : List.copyOf(peers.values())) {
      if (now - peer.receivedAt > toNanos(PEER_TIMEOUT_MILLIS)) {
        remove(peer, "silent");
      }
    }
  }

  private void remove(Peer peer, String reason) {
    peers.remove(peer.address);
    inFlight.removePeer(peer.node.name());
    logChange("peer.lost", peer, reason);
  }

  private List<InetSocketAddress> selectPeers(boolean sameDomain, int limit) {
    List<InetSocketAddress> selected = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.domain.equals(domain) == sameDomain) {
        selected.add(peer.address);
      }
    }
    if (selected.size() > limit) {
      Collections.shuffle(selected, random);
      return selected.subList(0, limit);
    }
    return selected;
  }

  private void sendState(Collection<InetSocketAddress> receivers, long sendsMaxAgeMillis) {
    if (receivers.isEmpty()) {
      return;
    }
    byte[] datagram = codec.encode(buildState(toNanos(sendsMaxAgeMillis)));
    receivers.forEach(r -> sender.send(r, datagram));
  }

  private RouterNews buildState(long sendsMaxAgeNanos) {
    RouterNews.Builder b =
        RouterNews.newBuilder()
            .setName(self.name())
            .setIncarnation(self.incarnation())
            .setSequence(++sequence)
            .setSelf(encodeMember(address, domain))
            .setConfigVersion(configVersion.getAsLong())
            .setLeaving(leaving);
    inFlight.localWork().forEach((server, work) -> b.addWork(GossipCodec.encodeWork(server, work)));
    prefixCaches
        .recentSends(sendsMaxAgeNanos, clock.nanos())
        .forEach((server, parts) -> b.addReads(GossipCodec.encodeSends(server, parts)));
    List<Peer> advertised = new ArrayList<>(peers.values());
    Collections.shuffle(advertised, random);
    advertised.stream()
        .limit(MAX_ADVERTISED_PEERS)
        .forEach(m -> b.addMembers(encodeMember(m.address, m.domain)));
    return b.build();
  }

  private static MemberNews encodeMember(InetSocketAddress address, FailureDomain domain) {
    return MemberNews.newBuilder()
        .setAddress(Addresses.format(address))
        .setFailureDomain(domain.value())
        .build();
  }

  /**
   * Handles a datagram from another router. Datagrams that are malformed or wrongly signed are
   * ignored.
   *
   * @param datagram the received bytes
   */
  void receive(byte[] datagram) {
    try {
      applyState(codec.decode(datagram));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      LOG.atWarn()
          .addKeyValue("event", "peer.message_refused")
          .addKeyValue("reason", String.valueOf(e.getMessage()))
          .log("invalid gossip message ignored");
    }
  }

  private void applyState(RouterNews state) {
    NodeId node = new NodeId(state.getName(), state.getIncarnation());
    if (node.equals(self)) {
      return;
    }
    InetSocketAddress peerAddress = Addresses.parse(state.getSelf().getAddress());
    FailureDomain peerDomain = new FailureDomain(state.getSelf().getFailureDomain());
    Peer peer = peers.get(peerAddress);
    if (peer == null) {
      peer = new Peer(peerAddress, peerDomain, node);
      peers.put(peerAddress, peer);
      logChange("peer.found", peer, "heard");
    } else if (peer.node.equals(node) && state.getSequence() <= peer.sequence) {
      return;
    }
    peer.node = node;
    peer.domain = peerDomain;
    peer.sequence = state.getSequence();
    long now = clock.nanos();
    peer.receivedAt = now;
    if (state.getLeaving()) {
      remove(peer, "leaving");
      return;
    }
    inFlight.replacePeerWork(node.name(), GossipCodec.decodeWork(state), now);
    prefixCaches.recordPeerSends(GossipCodec.decodeSends(state));
    if (state.getConfigVersion() > configVersion.getAsLong()) {
      onNewerConfig.accept(state.getConfigVersion());
    }
    state.getMembersList().forEach(this::contactIfUnknown);
  }

  private void contactIfUnknown(MemberNews member) {
    InetSocketAddress memberAddress = Addresses.parse(member.getAddress());
    if (!memberAddress.equals(address) && !peers.containsKey(memberAddress)) {
      sendState(List.of(memberAddress), 0);
    }
  }

  /**
   * Replaces the seed addresses.
   *
   * @param next addresses of some routers, for discovery
   */
  public void setSeeds(List<InetSocketAddress> next) {
    seeds = List.copyOf(next);
  }

  /** Announces to all known routers that this one is leaving. */
  void announceLeave() {
    leaving = true;
    sendState(List.copyOf(peers.keySet()), 0);
  }

  /** Returns the number of other routers that are considered alive. */
  public int peerCount() {
    return peers.size();
  }

  private void logChange(String event, Peer peer, String reason) {
    LOG.atInfo()
        .addKeyValue("event", event)
        .addKeyValue("peer", peer.node.toString())
        .addKeyValue("failure_domain", peer.domain.value())
        .addKeyValue("age_ms", (clock.nanos() - peer.receivedAt) / Clock.NANOS_PER_MILLI)
        .addKeyValue("reason", reason)
        .log("peer router list changed");
  }
}
