package org.wigeonwharf.gateway.placement;

/**
 * Identifies one of the consecutive parts of a prompt, which requests may share.
 *
 * @param id identifies the part's content
 * @param tokens the part's length in tokens
 */
public record PromptPart(String id, int tokens) {}
