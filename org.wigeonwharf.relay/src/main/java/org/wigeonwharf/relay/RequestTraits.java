package org.wigeonwharf.relay;

import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.ServiceSpec;

/**
 * RequestTraits are what the router decides about a request from its head alone.
 *
 * @param account the caller's client account
 * @param service the service asked for
 * @param serviceClass the service class
 * @param backendPath the path and query that the backend server sees
 * @param repeatable false if the request must run at most once
 */
public record RequestTraits(
    AccountSpec account,
    ServiceSpec service,
    ClassSpec serviceClass,
    String backendPath,
    boolean repeatable) {}
