package org.wigeonwharf.relay;

import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.ServiceSpec;

/**
 * The properties of a request that follow from its head and the configuration.
 *
 * @param account the caller's client account
 * @param service the requested service
 * @param serviceClass the service class
 * @param backendPath the path and query sent to the backend server
 * @param repeatable false if the request must run at most once
 */
public record RequestTraits(
    AccountSpec account,
    ServiceSpec service,
    ClassSpec serviceClass,
    String backendPath,
    boolean repeatable) {}
