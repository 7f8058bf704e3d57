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
 * A PullPolicy decides when to ask which peer for its snapshot.
 *
 * <p>One request is outstanding at a time. The peer that told the highest revision is asked first,
 * among equals one of the own failure domain, then any. A peer that does not answer, or answers
 * something unusable, is asked again after a bounded, growing delay. Not thread-safe.
 */
public final class PullPolicy {
  /** Time after which an unanswered request has failed. */
  public static final long TIMEOUT_NANOS = Clock.NANOS_PER_SECOND;

  /** Longest delay before a failed peer is asked again, in milliseconds. */
  public static final long MAX_DELAY_MILLIS = 5_000;

  private static final long FIRST_DELAY_MILLIS = 200;

  private final FailureDomain domain;
  private final Random random;
  private final Map<NodeId, Long> told = new HashMap<>();
  private final Map<NodeId, Failure> failures = new HashMap<>();
  private Set<NodeId> local = Set.of();
  private @Nullable NodeId asked;
  private long askedNanos;

  private static final class Failure {
    final Backoff backoff;
    long retryNanos;

    Failure(Backoff backoff) {
      this.backoff = backoff;
    }
  }

  /**
   * Creates a policy that has heard of nothing.
   *
   * @param domain the own failure domain
   * @param random draws jitter and breaks ties
   */
  public PullPolicy(FailureDomain domain, Random random) {
    this.domain = domain;
    this.random = random;
  }

  /**
   * Takes the revisions that heartbeats told and forgets peers that are gone.
   *
   * @param view the live routers
   */
  public void members(MembershipView view) {
    Set<NodeId> live = new HashSet<>();
    Set<NodeId> nearby = new HashSet<>();
    for (Member m : view.members()) {
      NodeId node = m.peer().node();
      if (node.equals(view.self())) {
        continue;
      }
      live.add(node);
      heard(node, m.configRevision());
      if (m.peer().domain().equals(domain)) {
        nearby.add(node);
      }
    }
    told.keySet().retainAll(live);
    failures.keySet().retainAll(live);
    local = nearby;
  }

  /**
   * Notes that a peer told its revision.
   *
   * @param peer the peer
   * @param revision the revision in force there
   */
  public void heard(NodeId peer, long revision) {
    told.merge(peer, revision, Math::max);
  }

  /**
   * Decides whom to ask now.
   *
   * @param heldRevision the revision in force here
   * @param nowNanos the current time
   * @return the peer to ask, noted as asked, or empty
   */
  public Optional<NodeId> next(long heldRevision, long nowNanos) {
    if (asked != null) {
      if (nowNanos - askedNanos < TIMEOUT_NANOS) {
        return Optional.empty();
      }
      failed(asked, nowNanos);
    }
    Optional<NodeId> choice = choose(heldRevision, nowNanos);
    choice.ifPresent(
        peer -> {
          asked = peer;
          askedNanos = nowNanos;
        });
    return choice;
  }

  private Optional<NodeId> choose(long heldRevision, long nowNanos) {
    List<NodeId> due = new ArrayList<>();
    told.forEach(
        (peer, revision) -> {
          if (revision > heldRevision && isDue(peer, nowNanos)) {
            due.add(peer);
          }
        });
    due.sort(Comparator.naturalOrder());
    Comparator<NodeId> order =
        Comparator.comparingLong((NodeId n) -> told.getOrDefault(n, 0L))
            .thenComparing(n -> local.contains(n));
    Optional<NodeId> best = due.stream().max(order);
    return best.map(
        b -> {
          List<NodeId> equal = due.stream().filter(n -> order.compare(n, b) == 0).toList();
          return equal.get(random.nextInt(equal.size()));
        });
  }

  private boolean isDue(NodeId peer, long nowNanos) {
    Failure f = failures.get(peer);
    return f == null || nowNanos - f.retryNanos >= 0;
  }

  /**
   * Notes that a peer's snapshot arrived and was usable.
   *
   * @param peer the peer
   */
  public void succeeded(NodeId peer) {
    failures.remove(peer);
    if (peer.equals(asked)) {
      asked = null;
    }
  }

  /**
   * Notes that a peer did not answer or answered something unusable.
   *
   * @param peer the peer
   * @param nowNanos the current time
   */
  public void failed(NodeId peer, long nowNanos) {
    if (peer.equals(asked)) {
      asked = null;
    }
    Failure f =
        failures.computeIfAbsent(
            peer, p -> new Failure(new Backoff(FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, random)));
    f.retryNanos = nowNanos + f.backoff.failed() * Clock.NANOS_PER_MILLI;
  }
}
