package org.wigeonwharf.membership;

import java.util.List;
import java.util.Optional;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ShardId;

/**
 * A MembershipView is what one process believes about the fleet at one moment.
 *
 * @param self the own process
 * @param members the live routers, this one included, sorted by node
 */
public record MembershipView(NodeId self, List<Member> members) {
  /**
   * Returns the routers that may schedule in a failure domain.
   *
   * @param domain the failure domain
   * @return nodes that are live and not leaving, sorted
   */
  public List<NodeId> candidates(FailureDomain domain) {
    return members.stream()
        .filter(m -> m.peer().domain().equals(domain) && !m.leaving())
        .map(m -> m.peer().node())
        .toList();
  }

  /**
   * Returns the router that schedules a shard in this view.
   *
   * @param shard the shard
   * @return the node, or empty if its failure domain has no live router
   */
  public Optional<NodeId> schedulerOf(ShardId shard) {
    return RendezvousHash.choose(shard.toString(), candidates(shard.domain()));
  }
}
