package org.wigeonwharf.gateway.route;

/**
 * CallerLimits bound what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes largest body of a request
 * @param headerTimeoutMillis longest time for a request's head, from its first byte
 * @param idleTimeoutMillis longest silence on a connection without a request
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Used until a configuration is known; small enough to hold under many connections. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
