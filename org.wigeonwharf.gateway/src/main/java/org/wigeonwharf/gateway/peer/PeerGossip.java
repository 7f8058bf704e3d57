package org.wigeonwharf.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.feed.ReaderState;
import org.wigeonwharf.gateway.feed.StoreChanges;
import org.wigeonwharf.gateway.feed.StoreProgress;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.peer.wire.DomainSummary;
import org.wigeonwharf.gateway.peer.wire.MemberNews;
import org.wigeonwharf.gateway.peer.wire.RouterNews;
import org.wigeonwharf.gateway.peer.wire.ServerWorkNews;
import org.wigeonwharf.gateway.peer.wire.VersionNews;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.gateway.stream.StreamOrigin;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/**
 * Exchanges state with the other routers by a gossip protocol.
 *
 * <p>Routers discover each other through a few seed addresses and the peers that messages list.
 * Within a failure domain, each router sends its complete in-flight work to all others, so that the
 * next message makes up for a lost one, and the time between messages grows with their number.
 * Other failure domains receive one summary of the whole domain: one router sends it to one router
 * of each other domain, which forwards it within its own. No router is appointed for this: the one
 * with the lowest name sends first, and each further one sends if it learns of no summary for a
 * little longer, so that a failed router delays the next summary only slightly. Not thread-safe.
 */
public final class PeerGossip {
  /** Minimum time in ms between two messages to routers of the same failure domain. */
  private static final long MIN_INTERVAL_MILLIS = 20;

  /**
   * Minimum time in ms, for each peer in the failure domain, between messages that add a long
   * prompt, which keeps its engine busy for a while. It bounds the messages that each router
   * receives to 500 a second in failure domains of any size.
   */
  private static final long LONG_PROMPT_INTERVAL_MILLIS_PER_PEER = 2;

  /**
   * Minimum time in ms, for each peer in the failure domain, between messages that report other
   * changes.
   */
  private static final long CHANGED_INTERVAL_MILLIS_PER_PEER = 16;

  /** Number of prompt tokens sent to engines since the last message that make the next urgent. */
  private static final long LONG_PROMPT_TOKENS = 2_000;

  /** Time in ms between messages to the same failure domain while nothing changes. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 400;

  /**
   * Time in ms after the previous message at which a summary of another failure domain is forwarded
   * if no other message carries it earlier.
   */
  private static final long FORWARD_INTERVAL_MILLIS = 200;

  /** Time in ms between summaries. Traffic between failure domains is billed. */
  private static final long SUMMARY_INTERVAL_MILLIS = 400;

  /** Time in ms, for each rank, that a router waits longer for another one to send a summary. */
  private static final long SUMMARY_DELAY_MILLIS_PER_RANK = 30;

  /**
   * Further time in ms that a router waits while it may not know all peers of its failure domain,
   * because it has just started.
   */
  private static final long SUMMARY_DELAY_MILLIS_AFTER_START = 200;

  /**
   * Minimum of the maximum age in ms of the prompt sends in a message to the same failure domain.
   */
  private static final long SAME_DOMAIN_SENDS_MIN_MAX_AGE_MILLIS = 100;

  /**
   * Maximum age of the prompt sends in a message to the same failure domain, in minimum intervals
   * between messages. It spans several messages, so that a lost one is made up for.
   */
  private static final int SAME_DOMAIN_SENDS_MAX_AGE_INTERVALS = 3;

  /** Maximum age in ms of the prompt sends in a summary. It also spans several messages. */
  private static final long SUMMARY_SENDS_MAX_AGE_MILLIS = 900;

  /** Time in ms between messages to seeds or listed routers that are not known as peers. */
  private static final long CONTACT_INTERVAL_MILLIS = 1_000;

  /**
   * Time in ms without a new router of the same failure domain after which a router knows those
   * that there are.
   */
  private static final long DISCOVERY_MILLIS = 2_500;

  /**
   * Time in ms after the first contact with another failure domain after which a router counts as
   * the only one of its own.
   */
  private static final long LONE_DISCOVERY_MILLIS = 10_000;

  /** Maximum number of peers listed in one message beside those of the receiver's domain. */
  private static final int MAX_ADVERTISED_PEERS = 12;

  /**
   * Maximum number of servers in a summary: those with the most requests. It bounds the size of a
   * datagram to some 4 KB.
   */
  private static final int MAX_SUMMARY_SERVERS = 120;

  /**
   * Maximum length of the ids of all streams in a message. With the summaries that are forwarded in
   * one message, it bounds the size of a datagram.
   */
  private static final int MAX_ORIGIN_CHARS = 6_400;

  /** Maximum length of the ids of all streams in a summary. */
  private static final int MAX_SUMMARY_ORIGIN_CHARS = 3_200;

  /**
   * Maximum number of streams in a message to a router that asks for the state. With ids of the
   * greatest length it remains within a datagram.
   */
  private static final int MAX_REPLIED_ORIGINS = 200;

  /** Maximum number of streams that a router receives that asks for the state. */
  private static final int MAX_REPLIED_ORIGINS_IN_ALL = 2_000;

  /** Maximum length of the name of a service and of a software version in a message. */
  private static final int MAX_NAME_LENGTH = 200;

  /** Maximum number of software versions in a message. */
  private static final int MAX_VERSIONS = 100;

  /** Maximum number of addresses whose parsed form is kept. */
  private static final int MAX_PARSED_ADDRESSES = 4_096;

  private static final Logger LOG = LoggerFactory.getLogger(PeerGossip.class);

  private final NodeId self;
  private final FailureDomain domain;
  private final InetSocketAddress address;
  private List<InetSocketAddress> seeds;
  private final InFlightTracker inFlight;
  private final PrefixCacheIndex prefixCaches;
  private final PromptQuarantine quarantine;
  private final ServerLimits limits;
  private final EndedServers endedServers;
  private final Evacuations evacuations;
  private final StreamOrigins streamOrigins;
  private final VersionHistory versionHistory;
  private final GossipCodec codec;
  private final Clock clock;
  private final Random random;
  private final DatagramSender sender;
  private final StoreProgress store;
  private final PeerTable peers;
  private final List<ReceivedSummary> summariesToForward = new ArrayList<>();
  private final List<StoreChanges> changesToPassOn = new ArrayList<>();
  private final Map<InetSocketAddress, Long> contactedAt = new HashMap<>();
  private final Map<String, InetSocketAddress> parsedAddresses = new HashMap<>();
  private final long startedAt;
  private long sequence;
  private long sentChangeCount;
  private long sentPrefillTokens;
  private long sentQuarantineChange;
  private long sentEndedServers;
  private long quarantineChangeSentToDomains;
  private boolean forwardQuarantine;
  private long settlesAt;
  private int localPeersBefore;
  private long sentAt;
  private long summariesSentAt;
  private long membersSentAt;
  private long seedsSentAt;
  private boolean leaving;

  private record ReceivedSummary(DomainSummary summary, long madeAt) {}

  /**
   * Creates an instance that knows no other router.
   *
   * @param self this process
   * @param domain this router's failure domain
   * @param address the address at which other routers reach this one
   * @param seeds addresses of some routers, for discovery
   * @param inFlight supplies this router's in-flight work and receives that of its peers
   * @param prefixCaches supplies this router's prompt sends and receives those of its peers
   * @param quarantine supplies and receives what is known of prompts that crash servers
   * @param limits supplies and receives the limits of servers and the demand for them
   * @param endedServers supplies and receives the servers that no longer answer
   * @param evacuations supplies and receives the evacuated failure domains
   * @param streamOrigins supplies this router's streams and receives those of its peers
   * @param versionHistory supplies and receives the software versions that have served
   * @param secret signs and verifies messages
   * @param clock monotonic clock
   * @param random chooses receivers and the peers to list
   * @param sender sends messages
   * @param store exchanges what the routers have read from the store
   */
  PeerGossip(
      NodeId self,
      FailureDomain domain,
      InetSocketAddress address,
      List<InetSocketAddress> seeds,
      InFlightTracker inFlight,
      PrefixCacheIndex prefixCaches,
      PromptQuarantine quarantine,
      ServerLimits limits,
      EndedServers endedServers,
      Evacuations evacuations,
      StreamOrigins streamOrigins,
      VersionHistory versionHistory,
      FleetSecret secret,
      Clock clock,
      Random random,
      DatagramSender sender,
      StoreProgress store) {
    this.self = self;
    this.domain = domain;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.inFlight = inFlight;
    this.prefixCaches = prefixCaches;
    this.quarantine = quarantine;
    this.limits = limits;
    this.endedServers = endedServers;
    this.evacuations = evacuations;
    this.streamOrigins = streamOrigins;
    this.versionHistory = versionHistory;
    this.codec = new GossipCodec(secret);
    this.clock = clock;
    this.random = random;
    this.sender = sender;
    this.store = store;
    this.peers = new PeerTable(domain, address, this::removeSource);
    this.startedAt = clock.nanos();
    this.settlesAt = startedAt + toNanos(DISCOVERY_MILLIS);
    this.sentAt = startedAt;
    this.summariesSentAt = startedAt;
    this.membersSentAt = startedAt;
    this.seedsSentAt = startedAt - toNanos(CONTACT_INTERVAL_MILLIS);
  }

  private void removeSource(String source) {
    inFlight.removeReport(source);
    limits.removeDemand(source);
  }

  private static long toNanos(long millis) {
    return millis * Clock.NANOS_PER_MILLI;
  }

  /** Sends the messages that are due and removes expired peers. */
  void tick() {
    long now = clock.nanos();
    peers.removeSilent(now);
    updateSettled(now);
    boolean summariesSent = now - nextSummaryAt(now) >= 0;
    if (summariesSent) {
      sendSummaries(now);
    } else if (quarantine.changeCount() != quarantineChangeSentToDomains) {
      sendQuarantineToDomains(now);
    }
    // Peers learn immediately that they need not send the summaries.
    if (summariesSent || now - nextStateAt() >= 0) {
      sendStateToDomain(now, summariesSent);
    }
    if (now - seedsSentAt >= toNanos(CONTACT_INTERVAL_MILLIS)) {
      seedsSentAt = now;
      contactedAt.values().removeIf(at -> now - at >= toNanos(CONTACT_INTERVAL_MILLIS));
      seeds.forEach(seed -> contactIfUnknown(seed, now));
    }
  }

  /** Returns the time in nanoseconds at which {@link #tick} has to be called next. */
  long nextTickAt() {
    long now = clock.nanos();
    long next = seedsSentAt + toNanos(CONTACT_INTERVAL_MILLIS);
    for (long at : new long[] {nextSummaryAt(now), nextStateAt(), peers.nextTimeoutAt(now)}) {
      next = at - next < 0 ? at : next;
    }
    return next;
  }

  private long nextStateAt() {
    int peerCount = peers.localPeerCount();
    boolean urgent =
        forwardQuarantine
            || !changesToPassOn.isEmpty()
            || endedServers.changeCount() != sentEndedServers;
    if (urgent || quarantine.changeCount() != sentQuarantineChange) {
      return sentAt + minInterval(LONG_PROMPT_INTERVAL_MILLIS_PER_PEER * peerCount);
    }
    if (inFlight.localPrefillTokens() - sentPrefillTokens >= LONG_PROMPT_TOKENS) {
      return sentAt + minInterval(LONG_PROMPT_INTERVAL_MILLIS_PER_PEER * peerCount);
    }
    if (inFlight.localChangeCount() != sentChangeCount) {
      return sentAt + minInterval(CHANGED_INTERVAL_MILLIS_PER_PEER * peerCount);
    }
    return sentAt
        + toNanos(
            summariesToForward.isEmpty() ? HEARTBEAT_INTERVAL_MILLIS : FORWARD_INTERVAL_MILLIS);
  }

  private long sameDomainSendsMaxAge() {
    long interval = minInterval(CHANGED_INTERVAL_MILLIS_PER_PEER * peers.localPeerCount());
    return Math.max(
        toNanos(SAME_DOMAIN_SENDS_MIN_MAX_AGE_MILLIS),
        SAME_DOMAIN_SENDS_MAX_AGE_INTERVALS * interval);
  }

  private static long minInterval(long millis) {
    return toNanos(Math.min(HEARTBEAT_INTERVAL_MILLIS, Math.max(MIN_INTERVAL_MILLIS, millis)));
  }

  /**
   * Returns the number of live routers of the same failure domain with a lower name. Routers that
   * know each other agree on it, so that it divides duties among them.
   */
  public int rank() {
    return rank(clock.nanos());
  }

  private int rank(long now) {
    return (int) peers.listedPeers(now).stream().filter(p -> p.node().compareTo(self) < 0).count();
  }

  private long nextSummaryAt(long now) {
    long delay = SUMMARY_INTERVAL_MILLIS + rank(now) * SUMMARY_DELAY_MILLIS_PER_RANK;
    return summariesSentAt
        + toNanos(hasJustStarted(now) ? delay + SUMMARY_DELAY_MILLIS_AFTER_START : delay);
  }

  private boolean hasJustStarted(long now) {
    return now - startedAt < toNanos(PeerTable.PEER_TIMEOUT_MILLIS);
  }

  /** Sends the summary of this failure domain to one router of each other one. */
  private void sendSummaries(long now) {
    summariesSentAt = now;
    quarantineChangeSentToDomains = quarantine.changeCount();
    List<InetSocketAddress> receivers = peers.nextSummaryReceivers(now);
    if (receivers.isEmpty()) {
      return;
    }
    byte[] datagram =
        codec.encode(
            newState()
                .addSummaries(buildSummary(now))
                .addAllMembers(advertisedPeers(null))
                .build());
    receivers.forEach(r -> sender.send(r, datagram));
  }

  /** Sends what is new on crashes to the other failure domains, without waiting for a summary. */
  private void sendQuarantineToDomains(long now) {
    quarantineChangeSentToDomains = quarantine.changeCount();
    List<InetSocketAddress> receivers = peers.nextSummaryReceivers(now);
    if (!receivers.isEmpty()) {
      byte[] datagram = codec.encode(newState().build());
      receivers.forEach(r -> sender.send(r, datagram));
    }
  }

  private DomainSummary buildSummary(long now) {
    List<PeerTable.LocalPeer> listed = peers.listedPeers(now);
    DomainSummary.Builder b =
        DomainSummary.newBuilder()
            .setFailureDomain(domain.value())
            .setPartial(hasJustStarted(now))
            .setUnresponsive(peers.hasUnresponsivePeers(now))
            .addMembers(Addresses.format(address))
            .setStoreEra(store.changePosition().era())
            .setStoreRevision(store.changePosition().revision());
    listed.forEach(p -> b.addMembers(Addresses.format(p.address())));
    List<String> sources = listed.stream().map(p -> p.node().name()).toList();
    inFlight.workWith(sources, now).entrySet().stream()
        .sorted(Comparator.comparingInt(e -> -e.getValue().running()))
        .limit(MAX_SUMMARY_SERVERS)
        .forEach(e -> b.addWork(GossipCodec.encodeWork(e.getKey(), e.getValue())));
    b.addAllDemand(GossipCodec.encodeDemand(limits.demandWith(sources, now)));
    prefixCaches
        .recentDomainSends(toNanos(SUMMARY_SENDS_MAX_AGE_MILLIS), now)
        .forEach((server, parts) -> b.addReads(GossipCodec.encodeSends(server, parts)));
    b.addAllStreamOrigins(
        GossipCodec.encodeOrigins(
            streamOrigins.nextForOtherDomains(MAX_SUMMARY_ORIGIN_CHARS, now)));
    return b.addAllVersions(versionNews(true)).build();
  }

  /**
   * Returns when software versions last served.
   *
   * @param severalOnly true for only the services with several versions
   * @return the versions; empty if they are too many for a message
   */
  private List<VersionNews> versionNews(boolean severalOnly) {
    List<VersionHistory.Served> versions = versionHistory.served(severalOnly);
    boolean fits = versions.size() <= MAX_VERSIONS && versions.stream().allMatch(v -> isShort(v));
    return fits ? GossipCodec.encodeVersions(versions) : List.of();
  }

  private static boolean isShort(VersionHistory.Served v) {
    return Math.max(v.service().length(), v.softwareVersion().length()) <= MAX_NAME_LENGTH;
  }

  /** Sends this router's own state to all routers of the same failure domain. */
  private void sendStateToDomain(long now, boolean summariesSent) {
    sentChangeCount = inFlight.localChangeCount();
    sentPrefillTokens = inFlight.localPrefillTokens();
    sentQuarantineChange = quarantine.changeCount();
    sentEndedServers = endedServers.changeCount();
    forwardQuarantine = false;
    RouterNews.Builder b = newState().addAllWork(encodeLocalWork()).setSummariesSent(summariesSent);
    prefixCaches
        .recentSends(sameDomainSendsMaxAge(), now)
        .forEach((server, parts) -> b.addReads(GossipCodec.encodeSends(server, parts)));
    b.addAllStreamOrigins(
        GossipCodec.encodeOrigins(streamOrigins.nextForDomain(MAX_ORIGIN_CHARS, now)));
    b.addAllVersions(versionNews(true));
    for (ReceivedSummary r : summariesToForward) {
      int ageMillis = (int) ((now - r.madeAt) / Clock.NANOS_PER_MILLI);
      b.addSummaries(r.summary.toBuilder().setAgeMillis(ageMillis));
    }
    summariesToForward.clear();
    ReaderState reader = store.readerState();
    if (reader != null) {
      b.setReader(GossipCodec.encodeReader(reader));
    }
    changesToPassOn.forEach(c -> b.addStoreChanges(GossipCodec.encodeChanges(c)));
    changesToPassOn.clear();
    if (now - membersSentAt >= toNanos(HEARTBEAT_INTERVAL_MILLIS)) {
      membersSentAt = now;
      b.addAllMembers(advertisedPeers(null));
    }
    sentAt = now;
    byte[] datagram = codec.encode(b.build());
    peers.localPeers().forEach(p -> sender.send(p.address(), datagram));
  }

  private List<ServerWorkNews> encodeLocalWork() {
    return inFlight.localWork().entrySet().stream()
        .map(e -> GossipCodec.encodeWork(e.getKey(), e.getValue()))
        .toList();
  }

  /**
   * Sends this router's state to one other router, with peers for its discovery of the fleet.
   *
   * @param itsDomain the receiver's failure domain, or null if it is unknown
   */
  private void sendStateTo(
      InetSocketAddress receiver, @Nullable FailureDomain itsDomain, boolean replyRequested) {
    RouterNews.Builder b =
        newState().setReplyRequested(replyRequested).addAllMembers(advertisedPeers(itsDomain));
    if (itsDomain == null || domain.equals(itsDomain)) {
      b.addAllWork(encodeLocalWork());
    }
    if (!replyRequested) {
      List<VersionNews> versions = versionNews(false);
      b.addAllVersions(versions);
      b.setVersionsWatchedMillis(
          versions.isEmpty() ? 0 : versionHistory.watchedNanos() / Clock.NANOS_PER_MILLI);
    }
    sender.send(receiver, codec.encode(b.build()));
  }

  /**
   * Sends the streams that a router which has just started can't know. Each router of its failure
   * domain sends its own; one of them, and those of other failure domains, send all.
   */
  private void sendOriginsTo(InetSocketAddress receiver, boolean sameDomain) {
    long now = clock.nanos();
    boolean ownOnly = sameDomain && rank(now) > 0;
    List<StreamOrigin> origins = streamOrigins.latest(ownOnly, MAX_REPLIED_ORIGINS_IN_ALL, now);
    for (int i = 0; i < origins.size(); i += MAX_REPLIED_ORIGINS) {
      List<StreamOrigin> part =
          origins.subList(i, Math.min(origins.size(), i + MAX_REPLIED_ORIGINS));
      RouterNews.Builder b = newState().addAllStreamOrigins(GossipCodec.encodeOrigins(part));
      if (sameDomain) {
        b.addAllWork(encodeLocalWork());
      }
      sender.send(receiver, codec.encode(b.build()));
    }
  }

  private RouterNews.Builder newState() {
    return RouterNews.newBuilder()
        .setName(self.name())
        .setIncarnation(self.incarnation())
        .setSequence(++sequence)
        .setSelf(encodeMember(address, domain))
        .setStoreEra(store.changePosition().era())
        .setStoreRevision(store.changePosition().revision())
        .setConfigVersion(store.configurationVersion())
        .setQuarantine(GossipCodec.encodeQuarantine(quarantine.state(clock.nanos())))
        .addAllLimits(GossipCodec.encodeLimits(limits.limits(clock.nanos())))
        .addAllDemand(GossipCodec.encodeDemand(limits.demand(clock.nanos())))
        .addAllEndedServers(GossipCodec.encodeEndedServers(endedServers.recent(clock.nanos())))
        .addAllEvacuations(GossipCodec.encodeEvacuations(evacuations.advertised()))
        .setLeaving(leaving);
  }

  /** Returns some random peers, and all of one failure domain if that is given. */
  private List<MemberNews> advertisedPeers(@Nullable FailureDomain wholeDomain) {
    List<MemberNews> whole = new ArrayList<>();
    List<MemberNews> others = new ArrayList<>();
    peers
        .localPeers()
        .forEach(
            p ->
                (domain.equals(wholeDomain) ? whole : others)
                    .add(encodeMember(p.address(), domain)));
    peers
        .remoteAddresses()
        .forEach(
            (d, addresses) ->
                addresses.forEach(
                    a -> (d.equals(wholeDomain) ? whole : others).add(encodeMember(a, d))));
    Collections.shuffle(others, random);
    whole.addAll(others.subList(0, Math.min(MAX_ADVERTISED_PEERS, others.size())));
    return whole;
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
    long now = clock.nanos();
    InetSocketAddress sender = parse(state.getSelf().getAddress());
    FailureDomain senderDomain = new FailureDomain(state.getSelf().getFailureDomain());
    boolean unknown = !peers.knows(sender);
    boolean sameDomain = senderDomain.equals(domain);
    if (sameDomain) {
      if (!applyLocalState(state, sender, node, now)) {
        return;
      }
    } else {
      peers.recordRemote(sender, senderDomain, now);
    }
    if (unknown || state.getReplyRequested()) {
      sendStateTo(sender, senderDomain, false);
    }
    if (state.getReplyRequested()) {
      sendOriginsTo(sender, sameDomain);
    }
    mergeQuarantine(state, sameDomain, now);
    limits.merge(GossipCodec.decodeLimits(state.getLimitsList()), now);
    endedServers.merge(GossipCodec.decodeEndedServers(state.getEndedServersList()), now);
    evacuations.merge(GossipCodec.decodeEvacuations(state.getEvacuationsList()));
    streamOrigins.merge(GossipCodec.decodeOrigins(state.getStreamOriginsList()), sameDomain, now);
    versionHistory.merge(
        GossipCodec.decodeVersions(state.getVersionsList()),
        toNanos(Math.min(Integer.MAX_VALUE, Math.max(0, state.getVersionsWatchedMillis()))));
    state.getSummariesList().forEach(s -> applySummary(s, !sameDomain, now));
    if (sameDomain) {
      applyStoreChanges(state);
    }
    store.onPeerConfiguration(state.getConfigVersion());
    applyPosition(new StorePosition(state.getStoreEra(), state.getStoreRevision()));
    state.getMembersList().forEach(m -> contactIfUseful(m, now));
  }

  private void applyPosition(StorePosition read) {
    if (read.isAfter(store.changePosition())) {
      store.onPeerPosition(read);
    }
  }

  private void applyStoreChanges(RouterNews state) {
    if (state.hasReader()) {
      store.onPeerReader(GossipCodec.decodeReader(state.getReader()));
    }
    state.getStoreChangesList().forEach(c -> store.onPeerChanges(GossipCodec.decodeChanges(c)));
  }

  /** Merges what a peer knows; what comes from another failure domain is forwarded. */
  private void mergeQuarantine(RouterNews state, boolean sameDomain, long now) {
    boolean news = quarantine.merge(GossipCodec.decodeQuarantine(state.getQuarantine()), now);
    forwardQuarantine |= news && !sameDomain;
  }

  /** Returns false if the message is older than another one, or the last of its sender. */
  private boolean applyLocalState(
      RouterNews state, InetSocketAddress sender, NodeId node, long now) {
    if (state.getLeaving()) {
      peers.removeLeaving(sender, now);
      return false;
    }
    if (!peers.recordLocal(sender, node, state.getSequence(), now)) {
      return false;
    }
    inFlight.replaceReport(node.name(), GossipCodec.decodeWork(state.getWorkList()), now);
    limits.replaceDemand(node.name(), GossipCodec.decodeDemand(state.getDemandList()), now);
    prefixCaches.recordDomainSends(GossipCodec.decodeSends(state.getReadsList()), now);
    if (state.getSummariesSent()) {
      summariesSentAt = now;
      streamOrigins.nextForOtherDomains(MAX_SUMMARY_ORIGIN_CHARS, now);
    }
    return true;
  }

  private void applySummary(DomainSummary summary, boolean direct, long now) {
    FailureDomain summarized = new FailureDomain(summary.getFailureDomain());
    if (summarized.equals(domain)) {
      return;
    }
    long madeAt = now - toNanos(Math.max(0, summary.getAgeMillis()));
    List<InetSocketAddress> members = summary.getMembersList().stream().map(this::parse).toList();
    peers.recordListed(summarized, members, !summary.getPartial(), madeAt, now);
    peers.recordSummary(summarized, summary.getUnresponsive(), madeAt);
    inFlight.replaceReport(
        PeerTable.domainSource(summarized), GossipCodec.decodeWork(summary.getWorkList()), madeAt);
    limits.replaceDemand(
        PeerTable.domainSource(summarized),
        GossipCodec.decodeDemand(summary.getDemandList()),
        madeAt);
    prefixCaches.recordRemoteSends(GossipCodec.decodeSends(summary.getReadsList()));
    applyPosition(new StorePosition(summary.getStoreEra(), summary.getStoreRevision()));
    List<StreamOrigin> origins = GossipCodec.decodeOrigins(summary.getStreamOriginsList());
    List<VersionHistory.Served> versions = GossipCodec.decodeVersions(summary.getVersionsList());
    streamOrigins.merge(origins, false, now);
    versionHistory.merge(versions, 0);
    // Another router of this domain that received a copy has forwarded it already.
    long sameCopy = madeAt + toNanos(MIN_INTERVAL_MILLIS);
    summariesToForward.removeIf(
        r ->
            r.summary.getFailureDomain().equals(summarized.value())
                && (direct || r.madeAt - sameCopy <= 0));
    if (direct) {
      DomainSummary forwarded =
          summary.toBuilder()
              .clearStreamOrigins()
              .addAllStreamOrigins(
                  GossipCodec.encodeOrigins(
                      origins.stream().filter(StreamOrigins::isKept).toList()))
              .clearVersions()
              .addAllVersions(
                  GossipCodec.encodeVersions(
                      versions.stream().filter(PeerGossip::isShort).toList()))
              .build();
      summariesToForward.add(new ReceivedSummary(forwarded, madeAt));
    }
  }

  private InetSocketAddress parse(String text) {
    if (parsedAddresses.size() >= MAX_PARSED_ADDRESSES) {
      parsedAddresses.clear();
    }
    return parsedAddresses.computeIfAbsent(text, Addresses::parse);
  }

  /** Tells whether something waits to be forwarded, so that the next tick may be due earlier. */
  boolean hasNewsToForward() {
    return forwardQuarantine || !summariesToForward.isEmpty();
  }

  /**
   * Contacts a listed router of the same failure domain, or of one without a known router. Others
   * become known by the summaries of their failure domain.
   */
  private void contactIfUseful(MemberNews member, long now) {
    FailureDomain memberDomain = new FailureDomain(member.getFailureDomain());
    if (memberDomain.equals(domain) || !peers.knowsDomain(memberDomain)) {
      contactIfUnknown(parse(member.getAddress()), now);
    }
  }

  private void contactIfUnknown(InetSocketAddress receiver, long now) {
    Long last = contactedAt.get(receiver);
    boolean recent = last != null && now - last < toNanos(CONTACT_INTERVAL_MILLIS);
    if (!receiver.equals(address) && !recent && !peers.knows(receiver)) {
      contactedAt.put(receiver, now);
      sendStateTo(receiver, null, true);
    }
  }

  /**
   * Sends changes of the store to the routers of the same failure domain with the next message.
   *
   * @param changes the changes
   */
  void passOn(StoreChanges changes) {
    changesToPassOn.add(changes);
  }

  /**
   * Replaces the seed addresses.
   *
   * @param next addresses of some routers, for discovery
   */
  public void setSeeds(List<InetSocketAddress> next) {
    seeds = List.copyOf(next);
  }

  /**
   * Announces to the routers of the same failure domain that this one is leaving. The next summary
   * tells the others.
   */
  void announceLeave() {
    leaving = true;
    byte[] datagram = codec.encode(newState().build());
    peers.localPeers().forEach(p -> sender.send(p.address(), datagram));
  }

  /** Returns the number of other routers that are considered alive. */
  public int peerCount() {
    return peers.size();
  }

  /**
   * Returns whether this router has been in contact with others for long enough to know its peers,
   * or has none.
   */
  public boolean isSettled() {
    return clock.nanos() - settlesAt >= 0;
  }

  private void updateSettled(long now) {
    int localPeers = peers.localPeerCount();
    boolean others = seeds.stream().anyMatch(s -> !s.equals(address));
    if (peers.size() == 0 && others) {
      settlesAt = now + toNanos(LONE_DISCOVERY_MILLIS);
    } else if (localPeers > localPeersBefore && now - settlesAt < 0) {
      settlesAt = now + toNanos(DISCOVERY_MILLIS);
    }
    localPeersBefore = localPeers;
  }

  /** Returns the names of the other routers of the same failure domain that are alive. */
  public List<String> domainPeers() {
    return peers.localPeers().stream().map(p -> p.node().name()).toList();
  }

  /** Returns the other failure domains with routers that are alive. */
  public Set<FailureDomain> otherDomains() {
    return peers.remoteDomains();
  }
}
