package org.wigeonwharf.gateway.http;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * Holds the values of the headers that a router adds to a request for a backend server.
 *
 * @param server the id of the server that must handle the request
 * @param account the caller's account, or null if it did not authenticate
 * @param remainingMillis time until the request's deadline
 * @param priority rank among requests; 0 is the highest
 * @param lastEventId id of the last event delivered to the caller, or null if the stream does not
 *     resume
 * @param cacheSourceAddress address of the backend server from whose KV cache to fetch the prompt's
 *     shared prefix, or null if there is nothing to fetch
 */
public record ForwardingHeaders(
    String server,
    @Nullable String account,
    long remainingMillis,
    int priority,
    @Nullable String lastEventId,
    @Nullable InetSocketAddress cacheSourceAddress) {}
