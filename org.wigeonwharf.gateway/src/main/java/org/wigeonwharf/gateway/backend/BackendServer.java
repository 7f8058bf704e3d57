package org.wigeonwharf.gateway.backend;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;

/**
 * Describes one published backend server.
 *
 * @param id the server's id; usually a new one after a restart
 * @param service the name of the service that it provides
 * @param address the address at which it accepts requests
 * @param domain the failure domain it runs in
 * @param slots maximum number of concurrent requests
 * @param draining true if it is about to stop and must not receive new requests
 * @param startedAt its start time in Unix milliseconds by its own wall clock, which distinguishes
 *     two runs with the same id; 0 if it is not published
 */
public record BackendServer(
    String id,
    String service,
    InetSocketAddress address,
    FailureDomain domain,
    int slots,
    boolean draining,
    long startedAt) {}
