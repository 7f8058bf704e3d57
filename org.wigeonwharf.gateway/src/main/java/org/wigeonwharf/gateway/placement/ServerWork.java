package org.wigeonwharf.gateway.placement;

/**
 * Summarizes the in-flight work of routers at one backend server.
 *
 * @param running number of requests sent and not yet ended
 * @param latencySensitivity sum of the latency sensitivities of the running streams
 * @param prefillTokens number of prompt tokens that still need prefill
 * @param kvCacheTokens number of prompt and output tokens that the running requests may hold in the
 *     KV cache
 */
public record ServerWork(
    int running, double latencySensitivity, int prefillTokens, long kvCacheTokens) {
  /** No in-flight work. */
  public static final ServerWork NONE = new ServerWork(0, 0, 0, 0);

  /**
   * Returns the sum of this and other work.
   *
   * @param other the other work
   * @return the sum
   */
  public ServerWork plus(ServerWork other) {
    return new ServerWork(
        running + other.running,
        latencySensitivity + other.latencySensitivity,
        prefillTokens + other.prefillTokens,
        kvCacheTokens + other.kvCacheTokens);
  }

  /**
   * Returns the difference of this and other work.
   *
   * @param other work that is part of this one
   * @return the rest
   */
  public ServerWork minus(ServerWork other) {
    return new ServerWork(
        running - other.running,
        Math.max(0, latencySensitivity - other.latencySensitivity),
        prefillTokens - other.prefillTokens,
        kvCacheTokens - other.kvCacheTokens);
  }

  /** Tells whether no request is in flight. */
  public boolean isNone() {
    return running == 0;
  }
}
