package org.wigeonwharf.gateway.placement;

/**
 * A Choice is the server that placement picked, with the reason.
 *
 * @param candidate the server as it was seen
 * @param costMillis its cost, the lowest among the candidates
 */
public record Choice(Candidate candidate, double costMillis) {}
