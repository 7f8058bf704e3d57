package org.wigeonwharf.gateway.route;

/**
 * An EngineSpec is the size of each model engine of a service.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens prompt and output tokens that an engine's memory holds
 */
public record EngineSpec(int slots, long memoryTokens) {}
