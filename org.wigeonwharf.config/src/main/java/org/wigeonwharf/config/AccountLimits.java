package org.wigeonwharf.config;

/**
 * AccountLimits bound what one client account uses over the whole fleet.
 *
 * @param requestsPerSecond new requests a second
 * @param tokensPerSecond generated tokens a second
 * @param concurrent requests waiting or running
 */
public record AccountLimits(double requestsPerSecond, double tokensPerSecond, int concurrent) {
  /** Largest rate accepted in settings: also the value of an unset rate. */
  public static final double MAX_RATE = 1_000_000_000.0;

  /** Largest concurrency accepted in settings: also the value of an unset one. */
  public static final int MAX_CONCURRENT = 1_000_000;
}
