package org.wigeonwharf.gateway.placement;

import java.util.List;

/**
 * A Demand is what placement has to know of a request.
 *
 * @param service the service that serves it
 * @param priority rank among requests; 0 goes first
 * @param parts the prompt's parts in order; empty for plain requests
 * @param promptTokens the prompt's length; 0 for plain requests
 * @param outputTokens most tokens that may be generated; 0 for plain requests
 * @param objectiveMillis latency objective for the answer or the first event
 * @param interTokenMillis longest pause between events within the objective; 0 if there is none
 */
public record Demand(
    String service,
    int priority,
    List<PromptPart> parts,
    int promptTokens,
    int outputTokens,
    long objectiveMillis,
    long interTokenMillis) {
  /** The gap objective, in ms, that counts as one whole tight stream: that of interactive chat. */
  private static final double REFERENCE_INTER_TOKEN_MILLIS = 200;

  /** Tightness below which a stream bears the pauses that long prompts make. */
  private static final double MIN_SENSITIVITY = 0.1;

  /** Copies the parts. */
  public Demand {
    parts = List.copyOf(parts);
  }

  /** Returns the tokens of all parts but the last, which is the request's own. */
  public int sharedPrefixTokens() {
    int n = 0;
    for (int i = 0; i + 1 < parts.size(); i++) {
      n += parts.get(i).tokens();
    }
    return n;
  }

  /** Tells whether the request is for a model engine. */
  public boolean hasPrompt() {
    return promptTokens > 0;
  }

  /**
   * Returns how much a pause of its stream hurts.
   *
   * @return 1 for a stream with an interactive gap objective, 0 for tolerant ones
   */
  public double latencySensitivity() {
    if (interTokenMillis <= 0) {
      return 0;
    }
    double ratio = REFERENCE_INTER_TOKEN_MILLIS / interTokenMillis;
    double square = ratio * ratio;
    return square < MIN_SENSITIVITY ? 0 : Math.min(1, square);
  }
}
