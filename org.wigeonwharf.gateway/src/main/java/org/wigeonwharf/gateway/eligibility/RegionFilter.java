package org.wigeonwharf.gateway.eligibility;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.model.FailureDomain;

/**
 * Excludes the servers outside of the regions that a request is restricted to.
 *
 * <p>The region of a server is that of its failure domain. A server of a failure domain whose
 * region is unknown serves unrestricted requests only.
 */
public final class RegionFilter implements ServerFilter {
  private final CachedSelection<Key> cache = new CachedSelection<>();
  private Map<FailureDomain, String> regionsByDomain;

  private record Key(String service, AllowedRegions regions) {}

  /**
   * Creates a filter.
   *
   * @param regionsByDomain the region of each failure domain
   */
  public RegionFilter(Map<FailureDomain, String> regionsByDomain) {
    this.regionsByDomain = Map.copyOf(regionsByDomain);
  }

  /**
   * Replaces the regions of the failure domains.
   *
   * @param next the region of each failure domain
   */
  public void setRegions(Map<FailureDomain, String> next) {
    regionsByDomain = Map.copyOf(next);
    cache.clear();
  }

  /**
   * Returns the region of a server.
   *
   * @param server the server
   * @return its name, or null if it is unknown
   */
  public @Nullable String regionOf(BackendServer server) {
    return regionsByDomain.get(server.domain());
  }

  /** Returns the region of each failure domain. */
  public Map<FailureDomain, String> regions() {
    return regionsByDomain;
  }

  @Override
  public List<BackendServer> select(Demand demand, List<BackendServer> servers) {
    AllowedRegions allowed = demand.regions();
    if (!allowed.restricted()) {
      return servers;
    }
    Key key = new Key(demand.service(), allowed);
    return cache.select(key, servers, s -> allowed.permits(regionOf(s)));
  }

  @Override
  public String reason() {
    return "no server of the service is in an allowed region";
  }
}
