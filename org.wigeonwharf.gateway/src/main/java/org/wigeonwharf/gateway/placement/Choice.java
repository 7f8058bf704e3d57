package org.wigeonwharf.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * A Choice is the server that placement picked, with the reason.
 *
 * @param candidate the server as it was seen
 * @param costMillis its cost, the lowest among the candidates
 * @param cacheSource the engine from which it should fetch what that has read of the prompt, or
 *     null if there is nothing to fetch
 * @param prefillTokens prompt tokens that it has to read itself
 */
public record Choice(
    Candidate candidate,
    double costMillis,
    @Nullable BackendServer cacheSource,
    int prefillTokens) {}
