package org.wigeonwharf.gateway.http;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.placement.PromptPart;

/**
 * RequestFacts are what the headers of a caller's request say.
 *
 * @param id names this attempt of the caller, or null if the caller gave none
 * @param timeoutMillis how long the caller waits; -1 if it did not say
 * @param apiKey the caller's key, or null if it gave none
 * @param parts the prompt's parts in order; empty for plain requests
 * @param promptTokens the prompt's length; 0 for plain requests
 * @param outputTokens most tokens that may be generated; 0 for plain requests
 */
public record RequestMetadata(
    @Nullable String id,
    long timeoutMillis,
    @Nullable String apiKey,
    List<PromptPart> parts,
    int promptTokens,
    int outputTokens) {
  /** Copies the parts. */
  public RequestMetadata {
    parts = List.copyOf(parts);
  }
}
