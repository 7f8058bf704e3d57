package org.wigeonwharf.schedule;

import java.util.Map;
import java.util.SortedMap;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ShardId;

/**
 * A ShardSummary is what a shard's scheduler tells other shards of its load.
 *
 * @param shard the shard
 * @param freeSlots slots that could be granted now
 * @param waitingByRank waiting requests by the rank of their tier
 * @param expectedWaitMillis expected wait of a new request by the rank of its tier, in milliseconds
 * @param demandByAccount waiting and running requests by client account
 */
public record ShardSummary(
    ShardId shard,
    int freeSlots,
    SortedMap<Integer, Integer> waitingByRank,
    SortedMap<Integer, Long> expectedWaitMillis,
    Map<AccountId, Integer> demandByAccount) {}
