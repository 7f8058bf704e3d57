package org.wigeonwharf.gateway.http;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * A Forwarding is what a router tells a backend server beside the caller's own request.
 *
 * @param server the id of the server that must run it
 * @param account the caller's account, or null if it proved none
 * @param remainingMillis how long the answer is waited for
 * @param priority rank among requests; 0 goes first
 * @param lastEventId the last event that the caller has, if another server began the stream
 * @param cacheSource the engine from which to fetch what it has read of the prompt
 */
public record ForwardingHeaders(
    String server,
    @Nullable String account,
    long remainingMillis,
    int priority,
    @Nullable String lastEventId,
    @Nullable InetSocketAddress cacheSource) {}
