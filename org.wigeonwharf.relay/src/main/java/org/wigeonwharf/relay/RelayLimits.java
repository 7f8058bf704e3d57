package org.wigeonwharf.relay;

/**
 * Limits and timeouts of one relay.
 *
 * @param maxRequestHeadBytes maximum size of a request head, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxTotalBodyBytes maximum total size of all request bodies in memory, in bytes
 * @param maxConnections maximum number of open caller connections
 * @param maxConnectionsPerAccount maximum number of these for one client account
 * @param headTimeoutMillis longest time from the opening of a connection to its first complete
 *     request head, in milliseconds
 * @param bodyTimeoutMillis longest time a caller may take to send a body, in milliseconds
 * @param callerIdleTimeoutMillis longest time without progress on a caller connection, in
 *     milliseconds
 * @param connectTimeoutMillis longest time to connect to a backend server, in milliseconds
 * @param backendIdleTimeoutMillis longest time without progress within one attempt, in milliseconds
 * @param drainIdleMillis time for which idle connections stay usable in a graceful stop, in
 *     milliseconds
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
  /** The limits of a router process. */
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
