package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

/**
 * Guards against advertised sends that no longer fit in one packet or are outdated, and against
 * prefixes that are assumed to be cached by removed engines.
 */
class PrefixCacheIndexTest {
  private static final long SECOND_NANOS = Clock.NANOS_PER_SECOND;

  private final PrefixCacheIndex index = new PrefixCacheIndex();

  private static List<PromptPart> prompt(String sharedId, String ownId) {
    return List.of(new PromptPart(sharedId, 500), new PromptPart(ownId, 100));
  }

  @Test
  void recentSendsHoldOnlySharedParts() {
    index.recordSent("s1", prompt("a", "x"), SECOND_NANOS);
    index.recordSent("s1", List.of(new PromptPart("alone", 50)), SECOND_NANOS);
    assertEquals(
        Map.of("s1", List.of(new PromptPart("a", 500))),
        index.recentSends(SECOND_NANOS, SECOND_NANOS));
  }

  @Test
  void recentSendsOmitOldOnes() {
    index.recordSent("s1", prompt("a", "x"), SECOND_NANOS);
    index.recordSent("s1", prompt("b", "y"), SECOND_NANOS + SECOND_NANOS / 2);
    assertEquals(
        Map.of("s1", List.of(new PromptPart("b", 500))),
        index.recentSends(SECOND_NANOS / 4, SECOND_NANOS + SECOND_NANOS / 2));
  }

  @Test
  void recentSendsStayBoundedUnderHighLoad() {
    for (int i = 0; i < 10_000; i++) {
      index.recordSent("s" + i % 3, prompt("topic" + i, "own" + i), SECOND_NANOS);
    }
    int advertised =
        index.recentSends(SECOND_NANOS, SECOND_NANOS).values().stream().mapToInt(List::size).sum();
    assertTrue(advertised <= 40, "advertised " + advertised);
  }

  @Test
  void promptsWithOversizedIdsOrManyPartsAreNotAdvertised() {
    index.recordSent("s1", prompt("x".repeat(5_000), "own"), SECOND_NANOS);
    List<PromptPart> many = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      many.add(new PromptPart("part" + i, 1));
    }
    index.recordSent("s1", many, SECOND_NANOS);
    index.recordSent("s1", prompt("a", "own"), SECOND_NANOS);
    assertEquals(
        Map.of("s1", List.of(new PromptPart("a", 500))),
        index.recentSends(SECOND_NANOS, SECOND_NANOS));
  }

  @Test
  void peerSendsCountAsCached() {
    index.recordRemoteSends(Map.of("s1", List.of(new PromptPart("a", 500))));
    assertEquals(500, index.cachedTokens("s1", prompt("a", "x")));
    assertEquals(0, index.cachedTokens("s2", prompt("a", "x")));
  }

  @Test
  void removedEngineHasNothingCached() {
    index.recordSent("s1", prompt("a", "x"), SECOND_NANOS);
    index.retainServers(List.of("s2"));
    assertEquals(0, index.cachedTokens("s1", prompt("a", "x")));
  }

  @Test
  void smallCacheKeepsTheLatestPrompts() {
    index.setCapacity("s1", 700);
    index.recordSent("s1", prompt("a", "x"), SECOND_NANOS);
    index.recordSent("s1", prompt("b", "y"), SECOND_NANOS);
    assertEquals(0, index.cachedTokens("s1", prompt("a", "x")));
    assertEquals(600, index.cachedTokens("s1", prompt("b", "y")));
  }

  @Test
  void holdersAreThoseThatHaveTheLastPartAsCachesChange() {
    Random random = new Random(5);
    for (int i = 0; i < 2_000; i++) {
      String server = "s" + random.nextInt(8);
      index.setCapacity(server, 1_500);
      index.recordSent(server, prompt("topic" + random.nextInt(12), "own" + i), SECOND_NANOS);
      if (i % 100 == 0) {
        index.retainServers(List.of("s0", "s2", "s3", "s4", "s5"));
      }
      List<PromptPart> asked = List.of(new PromptPart("topic" + random.nextInt(12), 500));
      List<String> expected =
          IntStream.range(0, 8)
              .mapToObj(n -> "s" + n)
              .filter(s -> index.cachedTokens(s, asked) > 0)
              .toList();
      assertEquals(
          expected, index.holders(asked, s -> true, 8).stream().sorted().toList(), "step " + i);
    }
  }

  @Test
  void unusableHoldersLeaveRoomForUsableOnes() {
    for (int i = 0; i < 9; i++) {
      index.recordSent("s" + i, prompt("a", "own" + i), SECOND_NANOS);
    }
    assertEquals(List.of("s8"), index.holders(prompt("a", "x"), "s8"::equals, 4));
    assertEquals(4, index.holders(prompt("a", "x"), s -> true, 4).size());
  }
}
