package org.wigeonwharf.gateway.placement;

/**
 * Summarizes the load of the servers that a request may go to.
 *
 * @param servers number of servers that answer and accept requests now
 * @param slots number of requests that these run concurrently
 * @param taken number of slots in use
 * @param queued number of requests at these servers that have no slot yet
 * @param prefillTokens number of prompt tokens that these servers still have to prefill
 * @param opensInMillis time in ms until the first server accepts a request; 0 if one does now or if
 *     that is not known
 */
public record ServiceLoad(
    int servers, int slots, int taken, int queued, long prefillTokens, double opensInMillis) {}
