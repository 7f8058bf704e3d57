package org.wigeonwharf.gateway.limit;

import org.wigeonwharf.model.Clock;

/**
 * Spreads the requests of one router to one server over time. The first token is earned at a random
 * phase, so that several routers don't send their first request together. Not thread-safe.
 */
final class TokenBucket {
  /** Maximum time in ms that counts between two uses, since a suspended VM earns nothing. */
  private static final double MAX_REFILL_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final double phase;
  private double tokens;
  private long refilledAt;

  /**
   * Creates a bucket.
   *
   * @param phase the tokens that it holds at first, from 0 to 1
   * @param now the current time in nanoseconds
   */
  TokenBucket(double phase, long now) {
    this.phase = phase;
    this.tokens = phase;
    this.refilledAt = now;
  }

  /** Returns the time in ms since the bucket was last refilled or skipped. */
  double elapsedMillis(long now) {
    return (now - refilledAt) / (double) Clock.NANOS_PER_MILLI;
  }

  /** Lets the time until now earn nothing. */
  void skip(long now) {
    refilledAt = now;
  }

  /**
   * Earns tokens for the time since the last use.
   *
   * @param perSecond tokens per second
   * @param maxTokens the most tokens that the bucket holds
   * @param now the current time in nanoseconds
   */
  void earn(double perSecond, double maxTokens, long now) {
    double millis = Math.min(MAX_REFILL_MILLIS, elapsedMillis(now));
    refilledAt = now;
    tokens = Math.min(maxTokens, tokens + perSecond * millis / MILLIS_PER_SECOND);
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  /** Returns the time in ms until the bucket holds a token; infinite if it earns none. */
  double waitMillis(double perSecond) {
    return hasToken() ? 0 : (1 - tokens) / perSecond * MILLIS_PER_SECOND;
  }

  /** Takes one token, which may be earned later. */
  void take() {
    tokens -= 1;
  }

  /** Returns to the tokens that the bucket held at first. */
  void reset() {
    tokens = phase;
  }
}
