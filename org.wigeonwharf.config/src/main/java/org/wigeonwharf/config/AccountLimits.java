package org.wigeonwharf.config;

/**
 * Limits of one client account, enforced over the whole fleet.
 *
 * @param requestsPerSecond maximum new requests per second
 * @param tokensPerSecond maximum generated tokens per second
 * @param concurrent maximum requests that are waiting or running
 */
public record AccountLimits(double requestsPerSecond, double tokensPerSecond, int concurrent) {
  /** Largest rate accepted in settings; an unset rate has this value, meaning unlimited. */
  public static final double MAX_RATE = 1_000_000_000.0;

  /** Largest concurrency accepted in settings; an unset limit has this value, meaning unlimited. */
  public static final int MAX_CONCURRENT = 1_000_000;
}
