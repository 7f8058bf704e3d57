package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against estimates that count prompt parts behind a missing one as cached, or that grow
 * beyond the engine's cache because parts are not evicted.
 */
class PrefixCacheEstimateTest {
  private static final PromptPart A = new PromptPart("a", 100);
  private static final PromptPart B = new PromptPart("b", 200);
  private static final PromptPart C = new PromptPart("c", 300);

  @Test
  void onlyLeadingPartsCountAsCached() {
    PrefixCacheEstimate cache = new PrefixCacheEstimate(1_000);
    cache.recordPrompt(List.of(A, B));
    assertEquals(300, cache.cachedTokens(List.of(A, B, C)));
    assertEquals(0, cache.cachedTokens(List.of(C, A)));
  }

  @Test
  void leastRecentlyUsedPartsAreEvicted() {
    PrefixCacheEstimate cache = new PrefixCacheEstimate(500);
    cache.recordPrompt(List.of(A));
    cache.recordPrompt(List.of(B));
    cache.recordPrompt(List.of(A));
    cache.recordPrompt(List.of(C));
    assertEquals(300, cache.cachedTokens(List.of(C)));
    assertEquals(100, cache.cachedTokens(List.of(A)));
    assertEquals(0, cache.cachedTokens(List.of(B)));
  }

  /**
   * With a size of 0, empty parts would never be evicted and the cache could grow without bound.
   */
  @Test
  void emptyPartsCountAsOneBlockEach() {
    PrefixCacheEstimate cache = new PrefixCacheEstimate(1_600);
    PromptPart first = new PromptPart("first", 1);
    cache.recordPrompt(List.of(first));
    for (int i = 0; i < 200; i++) {
      cache.recordPrompt(List.of(new PromptPart("empty" + i, 0)));
    }
    assertEquals(0, cache.cachedTokens(List.of(first)));
  }
}
