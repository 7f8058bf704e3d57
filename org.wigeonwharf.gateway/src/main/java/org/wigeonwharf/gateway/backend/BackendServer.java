package org.wigeonwharf.gateway.backend;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;

/**
 * A BackendServer is one published instance of a service.
 *
 * @param id the instance's id; a server that starts anew mostly has a new one
 * @param service the service's name
 * @param address where it takes requests
 * @param domain the failure domain it runs in
 * @param slots requests that it runs at once
 * @param draining true if it is about to leave and must get no new request
 * @param startedAt its own wall clock at its start in Unix milliseconds, to tell two lives of one
 *     id apart; 0 if it does not say
 */
public record BackendServer(
    String id,
    String service,
    InetSocketAddress address,
    FailureDomain domain,
    int slots,
    boolean draining,
    long startedAt) {}
