package org.wigeonwharf.gateway.eligibility;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.placement.Demand;

/** Lists the known servers that no filter excludes for a request. */
public final class EligibleServers {
  private final ServerDirectory directory;
  private final List<ServerFilter> filters;

  /**
   * Creates an instance.
   *
   * @param directory the known servers
   * @param filters the filters, all of which have to permit a server
   */
  public EligibleServers(ServerDirectory directory, List<ServerFilter> filters) {
    this.directory = directory;
    this.filters = List.copyOf(filters);
  }

  /**
   * Returns the usable servers of the request's service that it may be sent to.
   *
   * @param demand the request
   * @return the servers in the order of their ids; empty if there are none
   */
  public List<BackendServer> find(Demand demand) {
    List<BackendServer> servers = directory.usable(demand.service());
    for (ServerFilter f : filters) {
      servers = f.select(demand, servers);
    }
    return servers;
  }

  /**
   * Explains why a request may be sent to no server.
   *
   * @param demand the request
   * @return the reason, or null if there is a server
   */
  public @Nullable String reasonForNone(Demand demand) {
    List<BackendServer> servers = directory.usable(demand.service());
    if (servers.isEmpty()) {
      return "no server of the service is known";
    }
    for (ServerFilter f : filters) {
      servers = f.select(demand, servers);
      if (servers.isEmpty()) {
        return f.reason();
      }
    }
    return null;
  }
}
