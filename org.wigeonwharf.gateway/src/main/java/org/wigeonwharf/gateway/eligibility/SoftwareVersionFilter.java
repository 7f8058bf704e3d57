package org.wigeonwharf.gateway.eligibility;

import java.util.List;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Demand;

/**
 * Excludes the servers of other software versions than the one that has begun a stream, since the
 * events of two versions do not fit together.
 */
public final class SoftwareVersionFilter implements ServerFilter {
  private final CachedSelection<Key> cache = new CachedSelection<>();

  private record Key(String service, String softwareVersion) {}

  @Override
  public List<BackendServer> select(Demand demand, List<BackendServer> servers) {
    String version = demand.softwareVersion();
    if (version == null) {
      return servers;
    }
    Key key = new Key(demand.service(), version);
    return cache.select(key, servers, s -> s.softwareVersion().equals(version));
  }

  @Override
  public String reason() {
    return "no server of the stream's software version is known";
  }
}
