package org.wigeonwharf.gateway.route;

/**
 * An EngineSpec is the size of each model engine of a service.
 *
 * @param slots requests that an engine runs at once
 * @param kvCacheTokens prompt and output tokens that an engine's memory holds
 * @param fetchTokensPerMilli prompt tokens a ms that an engine can fetch from another one's memory;
 *     0 if it can't
 */
public record EngineSpec(int slots, long kvCacheTokens, double fetchTokensPerMilli) {
  /** Tells whether an engine can fetch from another one's memory. */
  public boolean canFetch() {
    return fetchTokensPerMilli > 0;
  }
}
