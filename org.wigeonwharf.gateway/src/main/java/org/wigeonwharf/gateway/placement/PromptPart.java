package org.wigeonwharf.gateway.placement;

/**
 * Identifies one of the consecutive parts of a prompt. Requests may share leading parts.
 *
 * @param id identifies the part's content
 * @param tokens the part's length in tokens
 */
public record PromptPart(String id, int tokens) {}
