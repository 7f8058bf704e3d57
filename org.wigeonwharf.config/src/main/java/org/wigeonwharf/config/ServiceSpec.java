package org.wigeonwharf.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;

/**
 * Describes one service of a published configuration.
 *
 * @param id the service's name
 * @param kind the kind of its backend servers
 * @param shardSize maximum number of backend servers in a shard, which one scheduler leases out
 * @param notStartedStatuses HTTP statuses by which its servers state that they did not start the
 *     request
 * @param resumable true if its servers can resume a stream at an offset
 * @param waitingPlaces maximum number of requests waiting in one shard
 * @param paths rules that classify requests by method and path, in order
 * @param servers its backend servers
 */
public record ServiceSpec(
    ServiceId id,
    ServiceKind kind,
    int shardSize,
    Set<Integer> notStartedStatuses,
    boolean resumable,
    int waitingPlaces,
    List<PathRule> paths,
    Map<ServerId, BackendServer> servers) {}
