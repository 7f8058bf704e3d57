package org.wigeonwharf.standin.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;

/** Holds the routers and backend servers of one measurement run. */
final class Fleet {
  /** Time between tokens of a server that isn't slowed down. */
  static final long TOKEN_INTERVAL_NANOS = 40 * Clock.NANOS_PER_MILLI;

  /** Number of routers in the run, spread evenly over the failure domains. */
  static final int ROUTER_COUNT = 6;

  private final PublishedConfig config;
  private final ServiceId service;
  private final Map<ServerId, ServerModel> servers = new LinkedHashMap<>();
  private final List<FailureDomain> domains = new ArrayList<>();

  Fleet(VirtualTime time, PublishedConfig config, ServiceId service) {
    this.config = config;
    this.service = service;
    for (BackendServer s : publishedServers()) {
      servers.put(s.id(), new ServerModel(time, s, TOKEN_INTERVAL_NANOS));
      if (!domains.contains(s.domain())) {
        domains.add(s.domain());
      }
    }
  }

  private Iterable<BackendServer> publishedServers() {
    var spec = config.services().get(service);
    if (spec == null) {
      throw new IllegalArgumentException("unknown service " + service);
    }
    return spec.servers().values();
  }

  PublishedConfig config() {
    return config;
  }

  ServiceId service() {
    return service;
  }

  FailureDomain domainOf(int router) {
    return domains.get(router % domains.size());
  }

  List<ServerModel> serversOf(FailureDomain domain) {
    return servers.values().stream().filter(s -> s.server().domain().equals(domain)).toList();
  }

  List<ServerModel> servers() {
    return List.copyOf(servers.values());
  }

  ServerModel server(ServerId id) {
    ServerModel s = servers.get(id);
    if (s == null) {
      throw new IllegalArgumentException("unknown server " + id);
    }
    return s;
  }

  int slots() {
    return servers.values().stream().mapToInt(s -> s.server().slots()).sum();
  }
}
