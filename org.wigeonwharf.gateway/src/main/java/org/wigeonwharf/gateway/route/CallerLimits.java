package org.wigeonwharf.gateway.route;

/**
 * Limits the size of a caller's requests and the time to send them.
 *
 * @param maxHeaderBytes maximum size of a request's head in bytes
 * @param maxBodyBytes maximum size of a request's body in bytes
 * @param headerTimeoutMillis maximum time to receive a request's head, from its first byte
 * @param idleTimeoutMillis maximum idle time of a connection between requests
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /**
   * Limits that apply until a configuration is known, low enough to be safe with many connections.
   */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
