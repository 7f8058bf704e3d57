package org.wigeonwharf.gateway.placement;

/**
 * A PromptPart is one of the consecutive parts of a prompt that requests may share.
 *
 * @param id names the part's content
 * @param tokens the part's length
 */
public record PromptPart(String id, int tokens) {}
