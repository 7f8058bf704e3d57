package org.wigeonwharf.gateway.http;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.notice.ServerStatement;
import org.wigeonwharf.gateway.placement.LoadReport;

/**
 * Holds the metadata from the head of a backend server's response.
 *
 * @param notExecuted true if the server states that it did not run the request
 * @param misdirected true if an instance other than the expected one responded
 * @param signed true if the response carries the server's signature
 * @param requestId the id of the request that it responds to, or null if absent
 * @param load the server's load, or null if absent
 * @param statement what the server states of itself
 */
public record ResponseMetadata(
    boolean notExecuted,
    boolean misdirected,
    boolean signed,
    @Nullable String requestId,
    @Nullable LoadReport load,
    ServerStatement statement) {}
