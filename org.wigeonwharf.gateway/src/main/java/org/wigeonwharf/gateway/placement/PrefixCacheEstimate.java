package org.wigeonwharf.gateway.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A PromptMemory remembers which prompt parts a server has read lately, the least recently used
 * ones giving way.
 */
public final class PrefixCacheEstimate {
  /** Tokens that a part counts for at the least: an engine's memory is dealt out in such blocks. */
  private static final int BLOCK_TOKENS = 16;

  private long capacityTokens;
  private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;

  /**
   * Creates an empty memory.
   *
   * @param capacityTokens tokens that the server is expected to keep beside running work
   */
  public PrefixCacheEstimate(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  /**
   * Changes how much is kept; what is too much goes with the next prompt.
   *
   * @param tokens tokens that the server is expected to keep beside running work
   */
  void setCapacity(long tokens) {
    capacityTokens = tokens;
  }

  /**
   * Counts the tokens of a prompt that need no reading: its leading parts that are remembered.
   *
   * @param prompt the prompt's parts in order
   * @return tokens from the prompt's start
   */
  public int cachedTokens(List<PromptPart> prompt) {
    int n = 0;
    for (PromptPart p : prompt) {
      if (!parts.containsKey(p.id())) {
        break;
      }
      n += p.tokens();
    }
    return n;
  }

  /**
   * Notes that the server reads a prompt.
   *
   * @param prompt the prompt's parts in order
   */
  public void recordPrompt(List<PromptPart> prompt) {
    for (PromptPart p : prompt) {
      int size = Math.max(BLOCK_TOKENS, p.tokens());
      Integer old = parts.put(p.id(), size);
      usedTokens += size - (old == null ? 0 : old);
    }
    Iterator<Map.Entry<String, Integer>> oldest = parts.entrySet().iterator();
    while (usedTokens > capacityTokens && oldest.hasNext()) {
      usedTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }

  /** Forgets everything: the server started anew. */
  public void clear() {
    parts.clear();
    usedTokens = 0;
  }
}
