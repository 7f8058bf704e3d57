package org.wigeonwharf.config.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;

/** Decides which peers a newly adopted snapshot is sent to. */
public final class PushPolicy {
  private final FailureDomain domain;

  /**
   * Creates a policy.
   *
   * @param domain the own failure domain
   */
  public PushPolicy(FailureDomain domain) {
    this.domain = domain;
  }

  /**
   * Chooses the peers to send a snapshot to.
   *
   * <p>A snapshot from the platform goes to the own failure domain and to the readers of all
   * others. A snapshot from another failure domain goes to the own one. A snapshot from the own
   * failure domain goes to no peer, since its sender sends it to the whole failure domain.
   *
   * @param view the live routers
   * @param revision the adopted revision
   * @param origin the failure domain of the peer that sent it, or null for the platform
   * @return the peers, all of which last reported a lower revision
   */
  public List<Member> targets(MembershipView view, long revision, @Nullable FailureDomain origin) {
    if (domain.equals(origin)) {
      return List.of();
    }
    Set<NodeId> remoteReaders = origin == null ? remoteReaders(view) : Set.of();
    return view.members().stream()
        .filter(m -> !m.peer().node().equals(view.self()) && m.configRevision() < revision)
        .filter(m -> m.peer().domain().equals(domain) || remoteReaders.contains(m.peer().node()))
        .toList();
  }

  private Set<NodeId> remoteReaders(MembershipView view) {
    Set<FailureDomain> otherDomains =
        view.members().stream().map(m -> m.peer().domain()).collect(Collectors.toSet());
    otherDomains.remove(domain);
    Set<NodeId> readers = new HashSet<>();
    otherDomains.forEach(d -> readers.addAll(ReadPolicy.readers(view, d)));
    return readers;
  }
}
