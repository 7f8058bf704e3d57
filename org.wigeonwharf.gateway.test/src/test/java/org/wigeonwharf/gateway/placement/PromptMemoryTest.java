package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class PromptMemoryTest {
  private static final PromptPart A = new PromptPart("a", 100);
  private static final PromptPart B = new PromptPart("b", 200);
  private static final PromptPart C = new PromptPart("c", 300);

  @Test
  void onlyLeadingPartsSpareReading() {
    PromptMemory memory = new PromptMemory(1_000);
    memory.read(List.of(A, B));
    assertEquals(300, memory.remembered(List.of(A, B, C)));
    assertEquals(0, memory.remembered(List.of(C, A)));
  }

  @Test
  void leastRecentlyReadPartsGiveWay() {
    PromptMemory memory = new PromptMemory(500);
    memory.read(List.of(A));
    memory.read(List.of(B));
    memory.read(List.of(A));
    memory.read(List.of(C));
    assertEquals(300, memory.remembered(List.of(C)));
    assertEquals(100, memory.remembered(List.of(A)));
    assertEquals(0, memory.remembered(List.of(B)));
  }

  @Test
  void emptyPartsCanNotFillTheMemoryWithoutBound() {
    PromptMemory memory = new PromptMemory(1_600);
    PromptPart first = new PromptPart("first", 1);
    memory.read(List.of(first));
    for (int i = 0; i < 200; i++) {
      memory.read(List.of(new PromptPart("empty" + i, 0)));
    }
    assertEquals(0, memory.remembered(List.of(first)));
  }
}
