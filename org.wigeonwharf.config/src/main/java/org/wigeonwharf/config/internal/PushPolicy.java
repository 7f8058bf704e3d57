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

/** A PushPolicy decides which peers are sent a snapshot that was just adopted. */
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
   * Chooses the receivers.
   *
   * <p>What came from the platform goes to the own failure domain and to the readers of all others.
   * What came from another failure domain goes to the own one. What came from the own one goes to
   * nobody: its sender serves the failure domain.
   *
   * @param view the live routers
   * @param revision the adopted revision
   * @param origin the failure domain it came from, or null for the platform
   * @return peers whose told revision is lower
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
