package org.wigeonwharf.gateway.http;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.placement.PromptPart;

/**
 * Holds the metadata from the headers of a caller's request.
 *
 * @param id identifies this attempt by the caller (not one of the router), or null if absent
 * @param timeoutMillis how long the caller waits for the response; -1 if absent
 * @param apiKey the caller's API key, or null if absent
 * @param parts the prompt's parts in order; empty for plain requests
 * @param promptTokens the prompt's length in tokens; 0 for plain requests
 * @param outputTokens maximum number of tokens to generate; 0 for plain requests
 * @param lastEventId id of the last event that the caller has of a stream that it resumes, or null
 * @param resumedRequestId id of the caller's attempt that received this stream's first event, or
 *     null if the caller does not name it
 */
public record RequestMetadata(
    @Nullable String id,
    long timeoutMillis,
    @Nullable String apiKey,
    List<PromptPart> parts,
    int promptTokens,
    int outputTokens,
    @Nullable String lastEventId,
    @Nullable String resumedRequestId) {
  /** Copies {@code parts}. */
  public RequestMetadata {
    parts = List.copyOf(parts);
  }
}
