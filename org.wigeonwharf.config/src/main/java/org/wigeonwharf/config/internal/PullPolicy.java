package org.wigeonwharf.config.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;

/**
 * Decides when to request a snapshot and from which peer.
 *
 * <p>At most one request is outstanding. The peer that reported the highest revision is preferred;
 * among equal ones a peer of the own failure domain, and otherwise a random one. A peer that does
 * not answer, or whose answer is unusable, is asked again after an exponential, bounded delay. Not
 * thread-safe.
 */
public final class PullPolicy {
  /** Time after which an unanswered request counts as failed. */
  public static final long REQUEST_TIMEOUT_NANOS = Clock.NANOS_PER_SECOND;

  /** Maximum delay before a peer is asked again after a failure, in milliseconds. */
  public static final long MAX_DELAY_MILLIS = 5_000;

  private static final long FIRST_DELAY_MILLIS = 200;

  private final FailureDomain domain;
  private final Random random;
  private final Map<NodeId, Long> revisions = new HashMap<>();
  private final Map<NodeId, RetryState> retryStates = new HashMap<>();
  private Set<NodeId> sameDomainPeers = Set.of();
  private @Nullable NodeId pendingPeer;
  private long requestedNanos;

  private static final class RetryState {
    final Backoff backoff;
    long retryNanos;

    RetryState(Backoff backoff) {
      this.backoff = backoff;
    }
  }

  /**
   * Creates a policy that knows no peers.
   *
   * @param domain the own failure domain
   * @param random draws jitter and breaks ties
   */
  public PullPolicy(FailureDomain domain, Random random) {
    this.domain = domain;
    this.random = random;
  }

  /**
   * Records the revisions that peers reported by heartbeat and forgets peers that are not live.
   *
   * @param view the live routers
   */
  public void updateMembers(MembershipView view) {
    Set<NodeId> live = new HashSet<>();
    Set<NodeId> sameDomain = new HashSet<>();
    for (Member m : view.members()) {
      NodeId node = m.peer().node();
      if (node.equals(view.self())) {
        continue;
      }
      live.add(node);
      onPeerRevision(node, m.configRevision());
      if (m.peer().domain().equals(domain)) {
        sameDomain.add(node);
      }
    }
    revisions.keySet().retainAll(live);
    retryStates.keySet().retainAll(live);
    sameDomainPeers = sameDomain;
  }

  /**
   * Records the revision that a peer reports.
   *
   * @param peer the peer
   * @param revision the revision in force at the peer
   */
  public void onPeerRevision(NodeId peer, long revision) {
    revisions.merge(peer, revision, Math::max);
  }

  /**
   * Chooses the peer to request a snapshot from now.
   *
   * @param heldRevision the revision in force here
   * @param nowNanos the current time
   * @return the peer, whose request counts as outstanding from now on; empty if none is due
   */
  public Optional<NodeId> nextPeer(long heldRevision, long nowNanos) {
    if (pendingPeer != null) {
      if (nowNanos - requestedNanos < REQUEST_TIMEOUT_NANOS) {
        return Optional.empty();
      }
      recordFailure(pendingPeer, nowNanos);
    }
    Optional<NodeId> choice = choosePeer(heldRevision, nowNanos);
    choice.ifPresent(
        peer -> {
          pendingPeer = peer;
          requestedNanos = nowNanos;
        });
    return choice;
  }

  private Optional<NodeId> choosePeer(long heldRevision, long nowNanos) {
    List<NodeId> candidates = new ArrayList<>();
    revisions.forEach(
        (peer, revision) -> {
          if (revision > heldRevision && isDue(peer, nowNanos)) {
            candidates.add(peer);
          }
        });
    candidates.sort(Comparator.naturalOrder());
    Comparator<NodeId> order =
        Comparator.comparingLong((NodeId n) -> revisions.getOrDefault(n, 0L))
            .thenComparing(n -> sameDomainPeers.contains(n));
    Optional<NodeId> best = candidates.stream().max(order);
    return best.map(
        b -> {
          List<NodeId> equal = candidates.stream().filter(n -> order.compare(n, b) == 0).toList();
          return equal.get(random.nextInt(equal.size()));
        });
  }

  private boolean isDue(NodeId peer, long nowNanos) {
    RetryState state = retryStates.get(peer);
    return state == null || nowNanos - state.retryNanos >= 0;
  }

  /**
   * Records that a peer sent a usable snapshot.
   *
   * @param peer the peer
   */
  public void recordSuccess(NodeId peer) {
    retryStates.remove(peer);
    if (peer.equals(pendingPeer)) {
      pendingPeer = null;
    }
  }

  /**
   * Records that a peer did not answer or sent an unusable snapshot.
   *
   * @param peer the peer
   * @param nowNanos the current time
   */
  public void recordFailure(NodeId peer, long nowNanos) {
    if (peer.equals(pendingPeer)) {
      pendingPeer = null;
    }
    RetryState state =
        retryStates.computeIfAbsent(
            peer, p -> new RetryState(new Backoff(FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, random)));
    state.retryNanos = nowNanos + state.backoff.recordFailure() * Clock.NANOS_PER_MILLI;
  }
}
