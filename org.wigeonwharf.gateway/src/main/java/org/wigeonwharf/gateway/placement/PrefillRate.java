package org.wigeonwharf.gateway.placement;

/** A ReadingSpeed learns how fast the engines of a service read prompts. */
public final class PrefillRate {
  /** Tokens a ms until enough was seen: the order of a current accelerator. */
  private static final double INITIAL_TOKENS_PER_MILLI = 80;

  /** Shortest prompt, in tokens, whose first event tells of reading rather than of queues. */
  private static final int MIN_SAMPLE_TOKENS = 2_000;

  /** Weight of a new sample. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

  /**
   * Converts tokens to reading time.
   *
   * @param tokens prompt tokens
   * @return milliseconds on an engine that does nothing else
   */
  public double toMillis(int tokens) {
    return tokens / tokensPerMilli;
  }

  /**
   * Learns from a first event.
   *
   * @param tokens prompt tokens that were read, with those of prompts ahead
   * @param millis time from the send to the first event
   */
  public void observe(int tokens, double millis) {
    if (tokens >= MIN_SAMPLE_TOKENS && millis > 1) {
      tokensPerMilli += SAMPLE_WEIGHT * (tokens / millis - tokensPerMilli);
    }
  }

  /** Returns the current estimate in tokens a ms. */
  public double tokensPerMilli() {
    return tokensPerMilli;
  }
}
