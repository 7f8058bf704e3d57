package org.wigeonwharf.gateway.peer;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.limit.FleetView;
import org.wigeonwharf.model.FailureDomain;

/**
 * Combines what the published servers and the gossip tell of the fleet. A failure domain stays
 * known once it has been seen, since its routers may only be cut off. Not thread-safe.
 */
public final class KnownFleet implements FleetView {
  private final String self;
  private final Supplier<PeerGossip> gossip;
  private final Set<FailureDomain> domains = new HashSet<>();
  private int maxDomainPeers;

  /**
   * Creates an instance that knows only this router.
   *
   * @param self this router's name
   * @param domain this router's failure domain
   * @param gossip supplies the known routers
   */
  public KnownFleet(String self, FailureDomain domain, Supplier<PeerGossip> gossip) {
    this.self = self;
    this.gossip = gossip;
    domains.add(domain);
  }

  /**
   * Adds the failure domains of servers, which are those of the routers too.
   *
   * @param servers the published servers
   */
  public void addDomainsOf(Collection<BackendServer> servers) {
    servers.forEach(s -> domains.add(s.domain()));
  }

  @Override
  public int failureDomains() {
    domains.addAll(gossip.get().otherDomains());
    return domains.size();
  }

  @Override
  public boolean isSettled() {
    return gossip.get().isSettled();
  }

  @Override
  public String self() {
    return self;
  }

  @Override
  public int maxDomainPeers() {
    maxDomainPeers = Math.max(maxDomainPeers, gossip.get().domainPeers().size());
    return maxDomainPeers;
  }

  @Override
  public Collection<String> domainPeers() {
    return gossip.get().domainPeers();
  }
}
