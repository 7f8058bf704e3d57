package org.wigeonwharf.schedule;

import java.util.Map;
import java.util.SortedMap;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ShardId;

/**
 * The load of a shard, for the schedulers of other shards.
 *
 * @param shard the shard
 * @param freeSlots number of slots that could be granted now
 * @param waitingByRank number of waiting requests by the rank of their tier
 * @param expectedWaitMillis expected wait of a new request by the rank of its tier, in milliseconds
 * @param demandByAccount number of waiting and running requests by client account
 */
public record ShardSummary(
    ShardId shard,
    int freeSlots,
    SortedMap<Integer, Integer> waitingByRank,
    SortedMap<Integer, Long> expectedWaitMillis,
    Map<AccountId, Integer> demandByAccount) {}
