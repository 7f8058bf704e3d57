package org.wigeonwharf.relay.keys;

/**
 * Limits on the entries and cached responses of one process's used keys.
 *
 * @param lifetimeMillis time after its issue during which a key may be used, in milliseconds
 * @param maxEntries maximum number of used keys that have not expired
 * @param maxEntriesPerAccount maximum number of these for one client account
 * @param maxCachedBodyBytes maximum size of a response body cached for retries, in bytes
 * @param maxTotalCachedBytes maximum total size of all cached response bodies, in bytes
 * @param maxWaiters maximum number of arrivals that wait for one execution, including the first
 */
public record KeyLimits(
    long lifetimeMillis,
    int maxEntries,
    int maxEntriesPerAccount,
    int maxCachedBodyBytes,
    long maxTotalCachedBytes,
    int maxWaiters) {
  /** The limits for a small entry VM. */
  public static final KeyLimits STANDARD =
      new KeyLimits(600_000, 100_000, 50_000, 64 * 1024, 32L * 1024 * 1024, 16);
}
