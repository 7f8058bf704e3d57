package org.wigeonwharf.config;

import java.net.InetSocketAddress;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;

/**
 * Describes one backend server of a published configuration.
 *
 * @param id the server's name, unique within its service
 * @param service the service it belongs to
 * @param domain its failure domain
 * @param address the address it listens on
 * @param slots maximum number of requests it runs concurrently
 * @param leaving true if it is draining and must get no new requests
 */
public record BackendServer(
    ServerId id,
    ServiceId service,
    FailureDomain domain,
    InetSocketAddress address,
    int slots,
    boolean leaving) {}
