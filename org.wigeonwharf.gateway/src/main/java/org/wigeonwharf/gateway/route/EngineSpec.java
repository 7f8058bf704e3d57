package org.wigeonwharf.gateway.route;

/**
 * Describes the capacity of each model engine of a service.
 *
 * @param slots maximum number of concurrent requests
 * @param kvCacheTokens KV cache size in prompt and output tokens
 * @param fetchTokensPerMilli prompt tokens per ms that an engine can fetch from the KV cache of
 *     another one; 0 if it cannot fetch
 */
public record EngineSpec(int slots, long kvCacheTokens, double fetchTokensPerMilli) {
  /** Tells whether an engine can fetch from the KV cache of another one. */
  public boolean canFetch() {
    return fetchTokensPerMilli > 0;
  }
}
