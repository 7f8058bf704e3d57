package org.wigeonwharf.gateway.notice;

import org.jspecify.annotations.Nullable;

/**
 * Holds what a backend server states of itself in the head of an answer.
 *
 * @param authentic true if the answer is certain to be the server's own, so that what it leaves out
 *     counts as well
 * @param leaving true if the server is about to stop
 * @param pauseSeconds the time for which a server that turned a request away wants no further one,
 *     or null if it names none; NaN if the value could not be read
 * @param rateLimit requests per second that the server accepts from all routers together, or null
 *     if it names no limit; NaN if the value could not be read
 * @param coldMillis time in ms for which the server stays cold, or null if it names none
 */
public record ServerStatement(
    boolean authentic,
    boolean leaving,
    @Nullable Double pauseSeconds,
    @Nullable Double rateLimit,
    @Nullable Long coldMillis) {}
