package org.wigeonwharf.relay.internal;

import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.ShardMap;

/** Selects the shard from whose scheduler a request acquires its slot. */
final class ShardSelector {
  private ShardSelector() {}

  /**
   * Returns a shard of the service, preferably one in the given failure domain.
   *
   * @param number distributes requests evenly over the shards
   * @return null if the service has no shard
   */
  static @Nullable ShardId select(
      ShardMap shards, FailureDomain domain, ServiceId service, long number) {
    List<ShardId> local = shards.shardsOf(service, domain);
    Predicate<ShardId> isOfService = s -> s.service().equals(service);
    List<ShardId> candidates =
        local.isEmpty() ? shards.shards().keySet().stream().filter(isOfService).toList() : local;
    return candidates.isEmpty() ? null : candidates.get((int) (number % candidates.size()));
  }
}
