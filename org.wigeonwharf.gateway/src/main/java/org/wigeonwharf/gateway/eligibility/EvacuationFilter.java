package org.wigeonwharf.gateway.eligibility;

import java.util.List;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.placement.Demand;

/** Excludes the servers of evacuated failure domains. */
public final class EvacuationFilter implements ServerFilter {
  private final Evacuations evacuations;
  private final CachedSelection<String> cache = new CachedSelection<>();
  private long seenChanges;

  /**
   * Creates a filter.
   *
   * @param evacuations the evacuated failure domains
   */
  public EvacuationFilter(Evacuations evacuations) {
    this.evacuations = evacuations;
  }

  @Override
  public List<BackendServer> select(Demand demand, List<BackendServer> servers) {
    if (evacuations.changeCount() != seenChanges) {
      seenChanges = evacuations.changeCount();
      cache.clear();
    }
    return cache.select(demand.service(), servers, s -> !evacuations.isEvacuated(s.domain()));
  }

  @Override
  public String reason() {
    return "all servers of the service are in evacuated failure domains";
  }
}
