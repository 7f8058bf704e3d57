package org.wigeonwharf.gateway.placement;

/** Estimates how fast the engines of a service prefill prompts. Not thread-safe. */
public final class PrefillRate {
  /** Initial estimate in tokens per ms, typical of a current accelerator. */
  private static final double INITIAL_TOKENS_PER_MILLI = 80;

  /**
   * Minimum prompt length, in tokens, for which prefill rather than queueing dominates the time to
   * the first event.
   */
  private static final int MIN_SAMPLE_TOKENS = 2_000;

  /** Weight of a new sample in the moving average. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private double tokensPerMilli = INITIAL_TOKENS_PER_MILLI;

  /**
   * Converts a number of tokens to prefill time.
   *
   * @param tokens number of prompt tokens
   * @return prefill time in milliseconds on an otherwise idle engine
   */
  public double toMillis(int tokens) {
    return tokens / tokensPerMilli;
  }

  /**
   * Updates the estimate from the first event of a stream. Ignores short prompts.
   *
   * @param tokens number of prompt tokens prefilled, including those of prompts ahead in the queue
   * @param millis time in milliseconds from the send to the first event
   */
  public void observe(int tokens, double millis) {
    if (tokens >= MIN_SAMPLE_TOKENS && millis > 1) {
      tokensPerMilli += SAMPLE_WEIGHT * (tokens / millis - tokensPerMilli);
    }
  }

  /** Returns the current estimate in tokens per millisecond. */
  public double tokensPerMilli() {
    return tokensPerMilli;
  }
}
