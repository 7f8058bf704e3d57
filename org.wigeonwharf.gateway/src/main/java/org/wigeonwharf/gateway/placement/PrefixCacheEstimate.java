package org.wigeonwharf.gateway.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the contents of one engine's prefix cache, with least-recently-used eviction. Not
 * thread-safe.
 */
public final class PrefixCacheEstimate {
  /** Size of a KV cache block in tokens; each part occupies at least one block. */
  private static final int BLOCK_TOKENS = 16;

  /** Receives the changes of a cache's contents. */
  interface Listener {
    /** Called when a part is cached that was not. */
    default void onAdded(String part) {}

    /** Called when a part is no longer cached. */
    default void onEvicted(String part) {}
  }

  private long capacityTokens;
  private final Listener listener;
  private final LinkedHashMap<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long usedTokens;

  /**
   * Creates an empty cache.
   *
   * @param capacityTokens cache size in tokens, excluding the KV cache of running requests
   */
  public PrefixCacheEstimate(long capacityTokens) {
    this(capacityTokens, new Listener() {});
  }

  /**
   * Creates an empty cache.
   *
   * @param capacityTokens cache size in tokens, excluding the KV cache of running requests
   * @param listener is called for each part that is added or evicted
   */
  PrefixCacheEstimate(long capacityTokens, Listener listener) {
    this.capacityTokens = capacityTokens;
    this.listener = listener;
  }

  /**
   * Changes the cache size. Excess parts are evicted when the next prompt is recorded.
   *
   * @param tokens cache size in tokens, excluding the KV cache of running requests
   */
  void setCapacity(long tokens) {
    capacityTokens = tokens;
  }

  /**
   * Returns the number of tokens in the leading parts of a prompt that are cached and need no
   * prefill.
   *
   * @param prompt the prompt's parts in order
   * @return number of tokens from the prompt's start
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
   * Records that the engine prefills a prompt, and evicts the least recently used parts if they
   * exceed the cache size.
   *
   * @param prompt the prompt's parts in order
   */
  public void recordPrompt(List<PromptPart> prompt) {
    for (PromptPart p : prompt) {
      int size = Math.max(BLOCK_TOKENS, p.tokens());
      Integer old = parts.put(p.id(), size);
      usedTokens += size - (old == null ? 0 : old);
      if (old == null) {
        listener.onAdded(p.id());
      }
    }
    Iterator<Map.Entry<String, Integer>> oldest = parts.entrySet().iterator();
    while (usedTokens > capacityTokens && oldest.hasNext()) {
      Map.Entry<String, Integer> evicted = oldest.next();
      usedTokens -= evicted.getValue();
      oldest.remove();
      listener.onEvicted(evicted.getKey());
    }
  }

  /** Empties the cache, as after a restart of the engine. */
  public void clear() {
    parts.keySet().forEach(listener::onEvicted);
    parts.clear();
    usedTokens = 0;
  }
}
