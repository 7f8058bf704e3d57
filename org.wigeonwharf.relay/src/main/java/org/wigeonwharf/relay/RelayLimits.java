package org.wigeonwharf.relay;

/**
 * RelayLimits bound what one relay accepts and how long it waits.
 *
 * @param maxHeadBytes longest request head accepted, in bytes
 * @param maxBodyBytes longest request body accepted, in bytes
 * @param maxBufferedBytes most bytes of request bodies held at once, over all requests
 * @param maxConnections most caller connections open at once
 * @param maxConnectionsPerAccount most caller connections of one client account open at once
 * @param headMillis longest time a connection may be open without a complete request head, in ms
 * @param bodyMillis longest time a caller may take to send a body, in ms
 * @param callerIdleMillis longest time a caller may take no byte of its answer, in ms
 * @param connectMillis longest time a connection to a backend server may take, in ms
 * @param backendIdleMillis longest silence of a backend server within one attempt, in ms
 * @param drainLingerMillis time that idle connections stay usable in a graceful stop, in ms
 */
public record RelayLimits(
    int maxHeadBytes,
    int maxBodyBytes,
    long maxBufferedBytes,
    int maxConnections,
    int maxConnectionsPerAccount,
    long headMillis,
    long bodyMillis,
    long callerIdleMillis,
    long connectMillis,
    long backendIdleMillis,
    long drainLingerMillis) {
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
