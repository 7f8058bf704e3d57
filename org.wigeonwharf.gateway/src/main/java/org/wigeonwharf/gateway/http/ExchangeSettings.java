package org.wigeonwharf.gateway.http;

/**
 * ExchangeSettings are the limits that a router sets itself for requests.
 *
 * @param maxHoldMillis longest time that a request is held for lack of a server that may get it
 * @param maxConfigurationWaitMillis longest time that a request waits for the first configuration;
 *     callers give up on a router that keeps them for a second
 * @param maxHoldFraction part of a request's remaining time that it may be held at the most
 * @param busyWaitFraction part of its latency objective that a request waits for a less busy server
 * @param stallObjectiveFactor latency objectives without an answer after which a server counts as
 *     silent
 * @param stallIntervalFactor gap objectives without an event after which a server counts as silent
 * @param minStallMillis least time after which a server counts as silent
 * @param minRemainingMillis least remaining time with which a request is sent to a server
 * @param retryAfterMillis when a refused caller should come back
 * @param maxBufferedBytes bytes of an answer that are kept back until it is complete, so that a
 *     broken one can be replaced by another server's
 */
public record ExchangeSettings(
    long maxHoldMillis,
    long maxConfigurationWaitMillis,
    double maxHoldFraction,
    double busyWaitFraction,
    double stallObjectiveFactor,
    double stallIntervalFactor,
    long minStallMillis,
    long minRemainingMillis,
    long retryAfterMillis,
    int maxBufferedBytes) {
  /**
   * Holds long enough for a full server to free a slot and for a replaced one to appear; callers
   * who are refused come back after about the time of one more such wait. Callers leave a stream
   * that is silent for two seconds, so another server gets half of that to go on.
   */
  public static final ExchangeSettings DEFAULT =
      new ExchangeSettings(1_500, 800, 0.4, 0.4, 3, 5, 700, 10, 500, 256 * 1024);
}
