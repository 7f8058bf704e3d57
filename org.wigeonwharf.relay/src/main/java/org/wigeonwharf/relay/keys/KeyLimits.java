package org.wigeonwharf.relay.keys;

/**
 * KeyLimits bound what one process keeps about used keys.
 *
 * @param lifetimeMillis how long a key may be used after it was issued, in milliseconds
 * @param maxEntries most used keys that have not expired
 * @param maxEntriesPerAccount most of these for one client account
 * @param maxCachedBodyBytes longest answer kept for retries, in bytes
 * @param maxTotalCachedBytes all kept answers together, in bytes
 * @param maxWaiters most arrivals that wait for the end of one run
 */
public record KeyLimits(
    long lifetimeMillis,
    int maxEntries,
    int maxEntriesPerAccount,
    int maxCachedBodyBytes,
    long maxTotalCachedBytes,
    int maxWaiters) {
  /** Limits for a small entry VM. */
  public static final KeyLimits STANDARD =
      new KeyLimits(600_000, 100_000, 50_000, 64 * 1024, 32L * 1024 * 1024, 16);
}
