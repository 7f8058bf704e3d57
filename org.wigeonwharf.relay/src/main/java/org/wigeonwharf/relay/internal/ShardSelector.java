package org.wigeonwharf.relay.internal;

import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.ShardMap;

/** A ShardChoice picks the shard whose scheduler is asked for a slot. */
final class ShardSelector {
  private ShardSelector() {}

  /** Returns a shard of the own failure domain if the service has one there, else any, or null. */
  static @Nullable ShardId select(
      ShardMap shards, FailureDomain domain, ServiceId service, long number) {
    List<ShardId> local = shards.shardsOf(service, domain);
    Predicate<ShardId> isOfService = s -> s.service().equals(service);
    List<ShardId> candidates =
        local.isEmpty() ? shards.shards().keySet().stream().filter(isOfService).toList() : local;
    return candidates.isEmpty() ? null : candidates.get((int) (number % candidates.size()));
  }
}
