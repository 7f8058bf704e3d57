package org.wigeonwharf.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;

/**
 * A ServiceSpec is one published service.
 *
 * @param id its name
 * @param kind what stands behind it
 * @param shardSize most backend servers that one scheduler leases out
 * @param notStartedStatuses HTTP statuses by which its servers state that they did not start
 * @param resumable true if its servers can continue a stream at an offset
 * @param waitingPlaces most requests that may wait in one shard
 * @param paths rules that classify requests by path, in order
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
