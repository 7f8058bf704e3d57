package org.wigeonwharf.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.peer.FleetSecret;

/**
 * GatewaySettings are the process settings of one gateway.
 *
 * @param name the entry VM's name
 * @param domain the failure domain it runs in
 * @param callerAddress where callers connect
 * @param readyAddress where the platform's balancer asks whether to send callers here
 * @param peerAddress where other routers send their news
 * @param metricsAddress where metrics and the state dump are read
 * @param storeAddress the platform's store
 * @param seeds where some other routers may be found
 * @param secret proves that a process belongs to the fleet
 * @param retryRatio extra sends per request that the fleet may make
 * @param retrySlack extra sends per window that the fleet may make beyond the ratio
 * @param retryWindowMillis the window that extra sends are counted in
 * @param stopGraceMillis time from the signal to stop until the process is killed
 */
public record GatewaySettings(
    String name,
    FailureDomain domain,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    InetSocketAddress storeAddress,
    List<InetSocketAddress> seeds,
    FleetSecret secret,
    double retryRatio,
    double retrySlack,
    long retryWindowMillis,
    long stopGraceMillis) {
  /** Copies the seeds. */
  public GatewaySettings {
    seeds = List.copyOf(seeds);
  }
}
