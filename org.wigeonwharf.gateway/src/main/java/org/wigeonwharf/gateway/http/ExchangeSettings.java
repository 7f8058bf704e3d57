package org.wigeonwharf.gateway.http;

/**
 * Defines a router's own limits for handling requests.
 *
 * @param maxHoldMillis maximum time to hold a request that no server may receive
 * @param maxConfigurationWaitMillis maximum time that a request waits for the first configuration;
 *     callers abandon a router that does not respond within a second
 * @param maxOriginWaitMillis maximum time that a request by which a caller resumes a stream waits
 *     until it is known which software version began the stream
 * @param maxHoldFraction maximum fraction of a request's remaining time for which it is held
 * @param maxExpectedHoldFraction maximum fraction of the time that a caller waits for which its
 *     request is held while a server is expected to have room for it
 * @param idleServerWaitFraction fraction of its latency objective for which a request waits for a
 *     less busy server
 * @param stallObjectiveFactor multiple of the latency objective without a response after which an
 *     attempt counts as stalled
 * @param stallIntervalFactor multiple of the inter-token latency objective without an event after
 *     which an attempt counts as stalled
 * @param minStallMillis minimum time after which an attempt counts as stalled
 * @param minRemainingMillis minimum remaining time with which a request is sent to a server
 * @param retryAfterMillis time after which a refused caller should retry
 * @param maxBufferedBytes maximum bytes of a response that are buffered until it is complete, so
 *     that an interrupted one can be replaced by another server's
 */
public record ExchangeSettings(
    long maxHoldMillis,
    long maxConfigurationWaitMillis,
    long maxOriginWaitMillis,
    double maxHoldFraction,
    double maxExpectedHoldFraction,
    double idleServerWaitFraction,
    double stallObjectiveFactor,
    double stallIntervalFactor,
    long minStallMillis,
    long minRemainingMillis,
    long retryAfterMillis,
    int maxBufferedBytes) {
  /**
   * The default limits. A request is held long enough for a full server to free a slot and for a
   * replacement to be published; refused callers retry after about the time of one more such wait.
   * Callers abandon a stream after two seconds without an event; the stall timeout leaves half of
   * that for another server to resume it.
   */
  public static final ExchangeSettings DEFAULT =
      new ExchangeSettings(1_500, 800, 500, 0.4, 0.6, 0.4, 3, 5, 700, 10, 500, 256 * 1024);
}
