package org.wigeonwharf.schedule;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;

/** A ShardMap splits the published backend servers into shards, alike in every process. */
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
    for (int i = 0; i < count; i++) {
      shards.put(new ShardId(service.id(), domain, i), new ArrayList<>());
    }
    for (BackendServer s : servers) {
      ShardId shard = new ShardId(service.id(), domain, indexOf(s, count));
      shards.computeIfAbsent(shard, k -> new ArrayList<>()).add(s);
    }
  }

  private static int indexOf(BackendServer server, int count) {
    int best = 0;
    long bestWeight = -1;
    for (int i = 0; i < count; i++) {
      CRC32 crc = new CRC32();
      crc.update((server.id() + "|" + i).getBytes(StandardCharsets.UTF_8));
      if (crc.getValue() > bestWeight) {
        best = i;
        bestWeight = crc.getValue();
      }
    }
    return best;
  }

  /**
   * Returns the backend servers of each shard.
   *
   * @return sorted by shard
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
