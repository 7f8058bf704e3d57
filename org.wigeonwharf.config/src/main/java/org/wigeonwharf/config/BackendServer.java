package org.wigeonwharf.config;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;

/**
 * A BackendServer is one published server of a service.
 *
 * @param id the server's name, unique in its service
 * @param service the service it belongs to
 * @param domain its failure domain
 * @param address where it listens
 * @param slots how many requests it runs at once
 * @param leaving true if it must get no new work
 */
public record BackendServer(
    ServerId id,
    ServiceId service,
    FailureDomain domain,
    InetSocketAddress address,
    int slots,
    boolean leaving) {}
