package org.wigeonwharf.gateway.limit;

import java.util.Collection;
import java.util.List;

/**
 * A fleet that does not change.
 *
 * @param failureDomains the number of failure domains
 * @param isSettled true if this router knows its peers
 * @param self this router's name
 * @param domainPeers the other routers of its failure domain
 */
public record FixedFleet(
    int failureDomains, boolean isSettled, String self, Collection<String> domainPeers)
    implements FleetView {
  /** Creates a fleet of one router. */
  public FixedFleet() {
    this(1, true, "r0", List.of());
  }

  @Override
  public int maxDomainPeers() {
    return domainPeers.size();
  }
}
