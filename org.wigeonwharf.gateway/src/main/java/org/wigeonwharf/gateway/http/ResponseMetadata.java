package org.wigeonwharf.gateway.http;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.placement.LoadReport;

/**
 * AnswerFacts are what the head of a backend server's answer says.
 *
 * @param notExecuted true if the server states that it did not run the request
 * @param misdirected true if another instance than the expected one answered
 * @param signed true if the answer bears the server's signature
 * @param requestId the request that it answers, or null if it does not say
 * @param load the server's load, or null if it does not say
 */
public record ResponseMetadata(
    boolean notExecuted,
    boolean misdirected,
    boolean signed,
    @Nullable String requestId,
    @Nullable LoadReport load) {}
