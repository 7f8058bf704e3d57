package org.wigeonwharf.membership;

import java.util.List;
import java.util.Optional;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.ShardId;

/**
 * Lists the routers that one process considers live at one moment.
 *
 * @param self the process that computed the view
 * @param members the live routers, including that process, sorted by node
 */
public record MembershipView(NodeId self, List<Member> members) {
  /**
   * Returns the routers that may act as schedulers in a failure domain.
   *
   * @param domain the failure domain
   * @return the nodes of the domain that are live and not leaving, sorted
   */
  public List<NodeId> candidates(FailureDomain domain) {
    return members.stream()
        .filter(m -> m.peer().domain().equals(domain) && !m.leaving())
        .map(m -> m.peer().node())
        .toList();
  }

  /**
   * Returns the router that is the scheduler of a shard in this view.
   *
   * @param shard the shard
   * @return the node, or empty if the shard's failure domain has no candidate
   */
  public Optional<NodeId> schedulerOf(ShardId shard) {
    return RendezvousHash.choose(shard.toString(), candidates(shard.domain()));
  }
}
