package org.wigeonwharf.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.membership.RendezvousHash;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;

/** Assigns the published backend servers to shards, identically in every process. */
public final class ShardMap {
  private final Map<ShardId, List<BackendServer>> shards;

  private ShardMap(Map<ShardId, List<BackendServer>> shards) {
    this.shards = shards;
  }

  /**
   * Computes the shards of a configuration.
   *
   * @param config the configuration
   * @return its shards
   */
  public static ShardMap of(PublishedConfig config) {
    Map<ShardId, List<BackendServer>> shards = new TreeMap<>();
    for (ServiceSpec service : config.services().values()) {
      Map<FailureDomain, List<BackendServer>> domains = new TreeMap<>();
      for (BackendServer s : service.servers().values()) {
        domains.computeIfAbsent(s.domain(), d -> new ArrayList<>()).add(s);
      }
      domains.forEach((domain, servers) -> split(service, domain, servers, shards));
    }
    return new ShardMap(shards);
  }

  private static void split(
      ServiceSpec service,
      FailureDomain domain,
      List<BackendServer> servers,
      Map<ShardId, List<BackendServer>> shards) {
    int count = (servers.size() + service.shardSize() - 1) / service.shardSize();
    Map<ShardId, List<BackendServer>> shardsOfDomain = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      shardsOfDomain.put(new ShardId(service.id(), domain, i), new ArrayList<>());
    }
    shards.putAll(shardsOfDomain);
    List<BackendServer> inOrder = new ArrayList<>(servers);
    inOrder.sort(Comparator.comparing(BackendServer::id));
    for (BackendServer s : inOrder) {
      place(s, shardsOfDomain, service.shardSize());
    }
  }

  /** Adds a server to the shard below its size limit that rendezvous hashing ranks highest. */
  private static void place(
      BackendServer server, Map<ShardId, List<BackendServer>> shardsOfDomain, int shardSize) {
    shardsOfDomain.entrySet().stream()
        .filter(e -> e.getValue().size() < shardSize)
        .max(Comparator.comparingLong(e -> weight(server, e.getKey())))
        .orElseThrow(() -> new IllegalStateException("no shard has room for the server"))
        .getValue()
        .add(server);
  }

  private static long weight(BackendServer server, ShardId shard) {
    return RendezvousHash.weight(server.id().value(), Integer.toString(shard.index()));
  }

  /**
   * Returns the backend servers of each shard.
   *
   * @return the servers by shard, sorted by shard
   */
  public Map<ShardId, List<BackendServer>> shards() {
    return shards;
  }

  /**
   * Returns the shards of a service in a failure domain.
   *
   * @param service the service
   * @param domain the failure domain
   * @return sorted; empty if the service has no backend servers there
   */
  public List<ShardId> shardsOf(ServiceId service, FailureDomain domain) {
    return shards.keySet().stream()
        .filter(s -> s.service().equals(service) && s.domain().equals(domain))
        .toList();
  }
}
