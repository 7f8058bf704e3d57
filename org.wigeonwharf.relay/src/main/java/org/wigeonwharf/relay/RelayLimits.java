package org.wigeonwharf.relay;

/**
 * RelayLimits bound what one relay accepts and how long it waits.
 *
 * @param maxRequestHeadBytes longest request head accepted, in bytes
 * @param maxBodyBytes longest request body accepted, in bytes
 * @param maxTotalBodyBytes most bytes of request bodies held at once, over all requests
 * @param maxConnections most caller connections open at once
 * @param maxConnectionsPerAccount most caller connections of one client account open at once
 * @param headTimeoutMillis longest time a connection may be open without a complete request head,
 *     in ms
 * @param bodyTimeoutMillis longest time a caller may take to send a body, in ms
 * @param callerIdleTimeoutMillis longest time a caller may take no byte of its answer, in ms
 * @param connectTimeoutMillis longest time a connection to a backend server may take, in ms
 * @param backendIdleTimeoutMillis longest silence of a backend server within one attempt, in ms
 * @param drainIdleMillis time that idle connections stay usable in a graceful stop, in ms
 */
public record RelayLimits(
    int maxRequestHeadBytes,
    int maxBodyBytes,
    long maxTotalBodyBytes,
    int maxConnections,
    int maxConnectionsPerAccount,
    long headTimeoutMillis,
    long bodyTimeoutMillis,
    long callerIdleTimeoutMillis,
    long connectTimeoutMillis,
    long backendIdleTimeoutMillis,
    long drainIdleMillis) {
  /** The limits of a router. */
  public static final RelayLimits DEFAULT =
      new RelayLimits(
          16 * 1024,
          4 * 1024 * 1024,
          128L * 1024 * 1024,
          20_000,
          2_000,
          10_000,
          30_000,
          60_000,
          1_000,
          300_000,
          2_000);
}
