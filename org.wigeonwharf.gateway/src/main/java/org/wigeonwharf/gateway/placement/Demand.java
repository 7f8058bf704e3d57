package org.wigeonwharf.gateway.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.AllowedRegions;

/**
 * Describes the properties of a request that decide its placement.
 *
 * @param service the name of the service that serves it
 * @param priority rank among requests; 0 is the highest
 * @param parts the prompt's parts in order; empty for requests without a prompt
 * @param promptTokens the prompt's length in tokens; 0 for requests without a prompt
 * @param outputTokens maximum number of tokens to generate; 0 for requests without a prompt
 * @param objectiveMillis latency objective for the answer, or for a stream's first event
 * @param interTokenObjectiveMillis latency objective for the time between two events of a stream; 0
 *     if there is none
 * @param account the name of the client account, or null if the caller did not authenticate
 * @param regions the regions in which it may be served, cached and stored
 * @param softwareVersion the software version of the servers that it may be sent to, because they
 *     have begun its stream, or null if any may serve it
 */
public record Demand(
    String service,
    int priority,
    List<PromptPart> parts,
    int promptTokens,
    int outputTokens,
    long objectiveMillis,
    long interTokenObjectiveMillis,
    @Nullable String account,
    AllowedRegions regions,
    @Nullable String softwareVersion) {
  /** Inter-token latency objective of interactive chat, in ms; it has a sensitivity of 1. */
  private static final double INTERACTIVE_INTER_TOKEN_MILLIS = 200;

  /**
   * Sensitivity below which a stream counts as tolerant of the stalls that the prefill of long
   * prompts causes.
   */
  private static final double MIN_SENSITIVITY = 0.1;

  /** Copies {@code parts}. */
  public Demand {
    parts = List.copyOf(parts);
  }

  /**
   * Creates a request that servers of any software version may serve.
   *
   * @param service the name of the service that serves it
   * @param priority rank among requests; 0 is the highest
   * @param parts the prompt's parts in order; empty for requests without a prompt
   * @param promptTokens the prompt's length in tokens; 0 for requests without a prompt
   * @param outputTokens maximum number of tokens to generate; 0 for requests without a prompt
   * @param objectiveMillis latency objective for the answer, or for a stream's first event
   * @param interTokenObjectiveMillis latency objective for the time between two events of a stream;
   *     0 if there is none
   * @param account the name of the client account, or null if the caller did not authenticate
   * @param regions the regions in which it may be served, cached and stored
   */
  public Demand(
      String service,
      int priority,
      List<PromptPart> parts,
      int promptTokens,
      int outputTokens,
      long objectiveMillis,
      long interTokenObjectiveMillis,
      @Nullable String account,
      AllowedRegions regions) {
    this(
        service,
        priority,
        parts,
        promptTokens,
        outputTokens,
        objectiveMillis,
        interTokenObjectiveMillis,
        account,
        regions,
        null);
  }

  /**
   * Returns the same request for servers of one software version only.
   *
   * @param version the software version
   */
  public Demand boundTo(String version) {
    return new Demand(
        service,
        priority,
        parts,
        promptTokens,
        outputTokens,
        objectiveMillis,
        interTokenObjectiveMillis,
        account,
        regions,
        version);
  }

  /**
   * Returns the same request with a further restriction of its regions.
   *
   * @param further the restriction, which applies in addition to the present one
   */
  public Demand restrictedTo(AllowedRegions further) {
    return new Demand(
        service,
        priority,
        parts,
        promptTokens,
        outputTokens,
        objectiveMillis,
        interTokenObjectiveMillis,
        account,
        regions.and(further),
        softwareVersion);
  }

  /**
   * Returns the number of tokens in all parts but the last, which belongs to this request alone.
   */
  public int sharedPrefixTokens() {
    int n = 0;
    for (int i = 0; i + 1 < parts.size(); i++) {
      n += parts.get(i).tokens();
    }
    return n;
  }

  /** Returns the ids of all parts but the last, which belongs to this request alone. */
  public List<String> sharedPartIds() {
    return parts.stream().limit(Math.max(0, parts.size() - 1)).map(PromptPart::id).toList();
  }

  /** Tells whether the request has a prompt, so that it needs a model engine. */
  public boolean hasPrompt() {
    return promptTokens > 0;
  }

  /**
   * Returns how sensitive the request's stream is to stalls: the squared ratio of the interactive
   * inter-token latency objective to its own, or 0 if that is negligible.
   *
   * @return 0 for a tolerant stream or one without an objective, up to 1 for an interactive one
   */
  public double latencySensitivity() {
    if (interTokenObjectiveMillis <= 0) {
      return 0;
    }
    double ratio = INTERACTIVE_INTER_TOKEN_MILLIS / interTokenObjectiveMillis;
    double square = ratio * ratio;
    return square < MIN_SENSITIVITY ? 0 : Math.min(1, square);
  }
}
