package org.wigeonwharf.gateway.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;

/**
 * Lists the other routers that are considered alive.
 *
 * <p>A router of the same failure domain is alive while its own messages arrive. One of another
 * failure domain is alive while its domain's summaries list it or its own messages arrive, so that
 * the number of messages does not depend on the number of routers elsewhere. Not thread-safe.
 */
final class PeerTable {
  /** Time in ms without a sign of life after which a router is removed. */
  static final long PEER_TIMEOUT_MILLIS = 2_500;

  /**
   * Time in ms without a message after which a router of the same failure domain is no longer
   * listed in summaries. It is shorter than {@link #PEER_TIMEOUT_MILLIS}, so that other failure
   * domains notice a failed router as early as its own one does.
   */
  static final long MAX_SILENCE_OF_LISTED_MILLIS = 1_600;

  /**
   * Time in ms since a router was last listed after which a summary without it removes it. Two
   * routers may send summaries of one failure domain by turns, and the newer list may come from the
   * one that knows less.
   */
  private static final long UNLISTED_MILLIS = 600;

  /** Number of routers that receive each summary in a failure domain with failed routers. */
  private static final int RECEIVERS_OF_UNRESPONSIVE_DOMAIN = 3;

  private static final Logger LOG = LoggerFactory.getLogger(PeerTable.class);

  private final FailureDomain ownDomain;
  private final InetSocketAddress ownAddress;
  private final FoundPeersLog foundLog = new FoundPeersLog();
  private final Consumer<String> onSourceLost;
  private final Map<InetSocketAddress, LocalPeer> localPeers = new LinkedHashMap<>();
  private final Map<FailureDomain, RemoteDomain> remoteDomains = new LinkedHashMap<>();

  /** Holds what is known of a router of the same failure domain. */
  static final class LocalPeer {
    private final InetSocketAddress address;
    private NodeId node;
    private long sequence;
    private long heardAt;

    private LocalPeer(InetSocketAddress address, NodeId node) {
      this.address = address;
      this.node = node;
    }

    InetSocketAddress address() {
      return address;
    }

    NodeId node() {
      return node;
    }
  }

  /** Holds when a router of another failure domain was last heard of, in nanoseconds. */
  private static final class RemotePeer {
    private @Nullable Long listedAt;
    private @Nullable Long heardAt;

    private long lastSignAt() {
      Long listed = listedAt;
      Long heard = heardAt;
      if (listed == null || heard == null) {
        return listed != null ? listed : heard != null ? heard : 0;
      }
      return listed - heard > 0 ? listed : heard;
    }
  }

  /** Holds what is known of another failure domain; it has at least one router. */
  private static final class RemoteDomain {
    private final Map<InetSocketAddress, RemotePeer> members = new LinkedHashMap<>();
    private long summaryAt;
    private boolean unresponsive;
    private int nextReceiver;

    private RemoteDomain(long now) {
      summaryAt = now;
    }
  }

  /**
   * Creates an empty table.
   *
   * @param ownDomain this router's failure domain
   * @param ownAddress this router's address, which is never added
   * @param onSourceLost called with the source of in-flight work that is lost: a router's name, or
   *     {@link #domainSource} of a failure domain without live routers
   */
  PeerTable(FailureDomain ownDomain, InetSocketAddress ownAddress, Consumer<String> onSourceLost) {
    this.ownDomain = ownDomain;
    this.ownAddress = ownAddress;
    this.onSourceLost = onSourceLost;
  }

  /** Returns the source of in-flight work that stands for all routers of a failure domain. */
  static String domainSource(FailureDomain domain) {
    return "domain/" + domain.value();
  }

  /**
   * Records a message of a router of the same failure domain.
   *
   * @param address its address
   * @param node its identity
   * @param sequence the message's number
   * @param now the current time in nanoseconds
   * @return true if the message is newer than all earlier ones of the same incarnation
   */
  boolean recordLocal(InetSocketAddress address, NodeId node, long sequence, long now) {
    LocalPeer peer = localPeers.get(address);
    if (peer == null) {
      peer = new LocalPeer(address, node);
      localPeers.put(address, peer);
      foundLog.add(node.toString(), ownDomain, "message received", now);
    } else if (!peer.node.equals(node)) {
      onSourceLost.accept(peer.node.name());
      peer.node = node;
    } else if (sequence <= peer.sequence) {
      return false;
    }
    peer.sequence = sequence;
    peer.heardAt = now;
    return true;
  }

  /**
   * Records a message of a router of another failure domain.
   *
   * @param address its address
   * @param domain its failure domain
   * @param now the current time in nanoseconds
   */
  void recordRemote(InetSocketAddress address, FailureDomain domain, long now) {
    remotePeer(address, domain, now, "message received").heardAt = now;
  }

  private RemotePeer remotePeer(
      InetSocketAddress address, FailureDomain domain, long now, String reason) {
    Map<InetSocketAddress, RemotePeer> members = remoteDomain(domain, now).members;
    RemotePeer known = members.get(address);
    if (known != null) {
      return known;
    }
    RemotePeer added = new RemotePeer();
    members.put(address, added);
    foundLog.add(Addresses.format(address), domain, reason, now);
    return added;
  }

  private RemoteDomain remoteDomain(FailureDomain domain, long now) {
    return remoteDomains.computeIfAbsent(domain, d -> new RemoteDomain(now));
  }

  /**
   * Records that a summary of another failure domain was received.
   *
   * @param domain the failure domain
   * @param unresponsive true if some of its routers may have failed
   * @param madeAt the time in nanoseconds at which the summary was made
   */
  void recordSummary(FailureDomain domain, boolean unresponsive, long madeAt) {
    RemoteDomain remote = remoteDomains.get(domain);
    if (remote != null && madeAt - remote.summaryAt >= 0) {
      remote.summaryAt = madeAt;
      remote.unresponsive = unresponsive;
    }
  }

  /**
   * Records the list of routers in the summary of another failure domain.
   *
   * @param domain the failure domain
   * @param listed the addresses of its live routers
   * @param complete false if routers may be missing in the list
   * @param listedAt the time in nanoseconds at which the list was made
   * @param now the current time in nanoseconds
   */
  void recordListed(
      FailureDomain domain,
      Collection<InetSocketAddress> listed,
      boolean complete,
      long listedAt,
      long now) {
    for (InetSocketAddress address : listed) {
      if (!address.equals(ownAddress)) {
        RemotePeer peer = remotePeer(address, domain, now, "listed");
        Long before = peer.listedAt;
        peer.listedAt = before == null || listedAt - before > 0 ? listedAt : before;
      }
    }
    if (complete) {
      long oldest = now - UNLISTED_MILLIS * Clock.NANOS_PER_MILLI;
      removeRemote(domain, oldest, now, "not listed any more");
    }
  }

  /**
   * Removes a router of the same failure domain that leaves.
   *
   * @param address its address
   * @param now the current time in nanoseconds
   */
  void removeLeaving(InetSocketAddress address, long now) {
    LocalPeer peer = localPeers.get(address);
    if (peer != null) {
      removeLocal(peer, now, "leaving");
    }
  }

  /**
   * Removes all routers that gave no sign of life for {@link #PEER_TIMEOUT_MILLIS}.
   *
   * @param now the current time in nanoseconds
   */
  void removeSilent(long now) {
    foundLog.writeDue(now);
    long oldest = now - PEER_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI;
    for (LocalPeer peer : List.copyOf(localPeers.values())) {
      if (peer.heardAt - oldest < 0) {
        removeLocal(peer, now, "silent");
      }
    }
    for (FailureDomain domain : List.copyOf(remoteDomains.keySet())) {
      removeRemote(domain, oldest, now, "silent");
    }
  }

  private void removeLocal(LocalPeer peer, long now, String reason) {
    localPeers.remove(peer.address);
    onSourceLost.accept(peer.node.name());
    logLost(peer.node.toString(), ownDomain, now - peer.heardAt, reason);
  }

  private void removeRemote(FailureDomain domain, long oldest, long now, String reason) {
    RemoteDomain remote = remoteDomains.get(domain);
    if (remote == null) {
      return;
    }
    for (Map.Entry<InetSocketAddress, RemotePeer> e : List.copyOf(remote.members.entrySet())) {
      long lastSignAt = e.getValue().lastSignAt();
      if (lastSignAt - oldest < 0) {
        remote.members.remove(e.getKey());
        logLost(Addresses.format(e.getKey()), domain, now - lastSignAt, reason);
      }
    }
    if (remote.members.isEmpty()) {
      remoteDomains.remove(domain);
      onSourceLost.accept(domainSource(domain));
    }
  }

  /**
   * Returns the earliest time at which a router of the same failure domain may have to be removed.
   *
   * @param now the current time in nanoseconds
   */
  long nextTimeoutAt(long now) {
    long timeout = PEER_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI;
    long next = now + timeout;
    for (LocalPeer peer : localPeers.values()) {
      long at = peer.heardAt + timeout + 1;
      next = at - next < 0 ? at : next;
    }
    return next;
  }

  /** Tells whether a router is in the table. */
  boolean knows(InetSocketAddress address) {
    return localPeers.containsKey(address)
        || remoteDomains.values().stream().anyMatch(d -> d.members.containsKey(address));
  }

  /** Tells whether any router of another failure domain is in the table. */
  boolean knowsDomain(FailureDomain domain) {
    return remoteDomains.containsKey(domain);
  }

  /** Returns the routers of the same failure domain. */
  Collection<LocalPeer> localPeers() {
    return List.copyOf(localPeers.values());
  }

  /** Returns the number of routers of the same failure domain. */
  int localPeerCount() {
    return localPeers.size();
  }

  /**
   * Returns the routers of the same failure domain that were heard of recently enough to be listed
   * in a summary.
   *
   * @param now the current time in nanoseconds
   */
  List<LocalPeer> listedPeers(long now) {
    long oldest = now - MAX_SILENCE_OF_LISTED_MILLIS * Clock.NANOS_PER_MILLI;
    return localPeers.values().stream().filter(p -> p.heardAt - oldest >= 0).toList();
  }

  /** Returns the addresses of the routers of other failure domains, by failure domain. */
  Map<FailureDomain, List<InetSocketAddress>> remoteAddresses() {
    Map<FailureDomain, List<InetSocketAddress>> all = new HashMap<>();
    remoteDomains.forEach(
        (domain, remote) -> all.put(domain, new ArrayList<>(remote.members.keySet())));
    return all;
  }

  /** Returns the other failure domains that have routers in the table. */
  Set<FailureDomain> remoteDomains() {
    return Set.copyOf(remoteDomains.keySet());
  }

  /**
   * Returns the routers of other failure domains that receive the next summary: one of each domain
   * in turn, or several if some of its routers may have failed.
   *
   * @param now the current time in nanoseconds
   */
  List<InetSocketAddress> nextSummaryReceivers(long now) {
    List<InetSocketAddress> receivers = new ArrayList<>();
    for (RemoteDomain remote : remoteDomains.values()) {
      boolean silent = now - remote.summaryAt > UNLISTED_MILLIS * Clock.NANOS_PER_MILLI;
      int count = remote.unresponsive || silent ? RECEIVERS_OF_UNRESPONSIVE_DOMAIN : 1;
      List<InetSocketAddress> members = List.copyOf(remote.members.keySet());
      for (int i = 0; i < Math.min(count, members.size()); i++) {
        receivers.add(members.get(remote.nextReceiver++ % members.size()));
      }
      remote.nextReceiver %= members.size();
    }
    return receivers;
  }

  /**
   * Tells whether a router of the same failure domain has missed a heartbeat.
   *
   * @param now the current time in nanoseconds
   */
  boolean hasUnresponsivePeers(long now) {
    long oldest = now - UNLISTED_MILLIS * Clock.NANOS_PER_MILLI;
    return localPeers.values().stream().anyMatch(p -> p.heardAt - oldest < 0);
  }

  /** Returns the number of routers in the table. */
  int size() {
    return localPeers.size()
        + remoteDomains.values().stream().mapToInt(d -> d.members.size()).sum();
  }

  private static void logLost(String peer, FailureDomain domain, long ageNanos, String reason) {
    LOG.atInfo()
        .addKeyValue("event", "peer.lost")
        .addKeyValue("peer", peer)
        .addKeyValue("failure_domain", domain.value())
        .addKeyValue("age_ms", ageNanos / Clock.NANOS_PER_MILLI)
        .addKeyValue("reason", reason)
        .log("peer router list changed");
  }
}
