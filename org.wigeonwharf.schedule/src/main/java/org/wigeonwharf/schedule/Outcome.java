package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;

/**
 * An Outcome reports the end of a lease to the scheduler.
 *
 * @param request the request
 * @param shard the shard of the lease
 * @param lease the lease's number
 * @param server the backend server
 * @param end how it ended
 * @param firstTokenMillis time from the write to the first byte of the answer, or -1 for none
 * @param tokens tokens received; for plain services 0
 * @param totalMillis time from the write to the end
 */
public record Outcome(
    RequestId request,
    ShardId shard,
    long lease,
    ServerId server,
    LeaseEnd end,
    long firstTokenMillis,
    int tokens,
    long totalMillis) {}
