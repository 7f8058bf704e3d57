package org.wigeonwharf.gateway.placement;

/**
 * ServerWork is the work that routers have under way at one backend server.
 *
 * @param running requests sent and not ended
 * @param latencySensitivity sum of the tightness of the running streams
 * @param prefillTokens prompt tokens that are not read yet
 * @param kvCacheTokens prompt and output tokens that the running requests may hold
 */
public record ServerWork(
    int running, double latencySensitivity, int prefillTokens, long kvCacheTokens) {
  /** No work at all. */
  public static final ServerWork NONE = new ServerWork(0, 0, 0, 0);

  /**
   * Adds other work.
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

  /** Tells whether there is no work. */
  public boolean isNone() {
    return running == 0;
  }
}
