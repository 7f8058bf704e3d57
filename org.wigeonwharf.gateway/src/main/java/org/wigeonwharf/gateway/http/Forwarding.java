package org.wigeonwharf.gateway.http;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * A Forwarding is what a router tells a backend server beside the caller's own request.
 *
 * @param server the id of the server that must run it
 * @param account the caller's account, or null if it proved none
 * @param waitMillis how long the answer is waited for
 * @param urgency rank among requests; 0 goes first
 * @param lastEvent the last event that the caller has, if another server began the stream
 * @param memorySource the engine from which to fetch what it has read of the prompt
 */
public record Forwarding(
    String server,
    @Nullable String account,
    long waitMillis,
    int urgency,
    @Nullable String lastEvent,
    @Nullable InetSocketAddress memorySource) {}
