package org.wigeonwharf.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.peer.FleetSecret;

/**
 * Holds the process settings of one router.
 *
 * @param name the entry VM's name
 * @param domain the failure domain of the entry VM
 * @param callerAddress the listen address for callers
 * @param readyAddress the listen address for the readiness checks of the platform's load balancer
 * @param peerAddress the address for datagrams of other routers
 * @param metricsAddress the listen address for metrics and the state dump
 * @param storeAddress the address of the platform's store
 * @param storeHistoryMillis time in ms for which the store keeps its changes
 * @param seeds addresses of some other routers, for discovery
 * @param secret the fleet's shared secret, which signs messages between routers
 * @param retryRatio number of retries per request that the fleet may make
 * @param retrySlack number of retries per window that the fleet may make in addition
 * @param retryWindowMillis length in ms of the window in which retries are counted
 * @param regions the region of each failure domain; empty if regions are not in use
 * @param stopGraceMillis time in ms from the stop signal until the process is killed
 */
public record GatewaySettings(
    String name,
    FailureDomain domain,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    InetSocketAddress storeAddress,
    long storeHistoryMillis,
    List<InetSocketAddress> seeds,
    FleetSecret secret,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    Map<FailureDomain, String> regions,
    long stopGraceMillis) {
  /** Copies {@code seeds} and {@code regions}. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
    regions = Map.copyOf(regions);
  }
}
