package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;

/**
 * The end of a lease, as a router reports it to the scheduler.
 *
 * @param request the request
 * @param shard the shard of the lease
 * @param lease the lease's number: {@link Lease#number} within the router, {@link
 *     Decision.Grant#lease} between router and scheduler
 * @param server the backend server
 * @param end how it ended
 * @param firstTokenMillis time from the write of the request to the first byte of the answer in
 *     milliseconds, or -1 for none
 * @param tokens number of tokens received, 0 for plain services
 * @param totalMillis time from the write of the request to the end in milliseconds
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
