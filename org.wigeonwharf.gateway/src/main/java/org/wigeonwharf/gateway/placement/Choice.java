package org.wigeonwharf.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * Holds the server chosen for a request and the cost it was chosen by.
 *
 * @param candidate the chosen server
 * @param costMillis its cost in milliseconds, the lowest among the candidates
 * @param cacheSource the engine from whose KV cache the chosen server should fetch the prompt's
 *     shared prefix, or null if there is nothing to fetch
 * @param prefillTokens prompt tokens that the chosen server has to prefill itself
 */
public record Choice(
    Candidate candidate,
    double costMillis,
    @Nullable BackendServer cacheSource,
    int prefillTokens) {}
