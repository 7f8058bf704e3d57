package org.wigeonwharf.gateway.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

class PromptLedgerTest {
  private static final long SECOND = Clock.NANOS_PER_SECOND;

  private final PromptLedger ledger = new PromptLedger();

  private static List<PromptPart> prompt(String topic, String own) {
    return List.of(new PromptPart(topic, 500), new PromptPart(own, 100));
  }

  @Test
  void onlySharedPartsAreTold() {
    ledger.sent("s1", prompt("a", "x"), SECOND);
    ledger.sent("s1", List.of(new PromptPart("alone", 50)), SECOND);
    assertEquals(Map.of("s1", List.of(new PromptPart("a", 500))), ledger.own(SECOND, SECOND));
  }

  @Test
  void oldReadsAreNotTold() {
    ledger.sent("s1", prompt("a", "x"), SECOND);
    ledger.sent("s1", prompt("b", "y"), SECOND + SECOND / 2);
    assertEquals(
        Map.of("s1", List.of(new PromptPart("b", 500))),
        ledger.own(SECOND / 4, SECOND + SECOND / 2));
  }

  @Test
  void messageStaysBoundedUnderFlood() {
    for (int i = 0; i < 10_000; i++) {
      ledger.sent("s" + i % 3, prompt("topic" + i, "own" + i), SECOND);
    }
    int told = ledger.own(SECOND, SECOND).values().stream().mapToInt(List::size).sum();
    assertTrue(told <= 40, "told " + told);
  }

  @Test
  void whatPeersTellIsRemembered() {
    ledger.heard(Map.of("s1", List.of(new PromptPart("a", 500))));
    assertEquals(500, ledger.remembered("s1", prompt("a", "x")));
    assertEquals(0, ledger.remembered("s2", prompt("a", "x")));
  }

  @Test
  void engineThatIsGoneIsForgotten() {
    ledger.sent("s1", prompt("a", "x"), SECOND);
    ledger.retain(List.of("s2"));
    assertEquals(0, ledger.remembered("s1", prompt("a", "x")));
  }

  @Test
  void smallMemoryKeepsTheLatestPrompts() {
    ledger.limit("s1", 700);
    ledger.sent("s1", prompt("a", "x"), SECOND);
    ledger.sent("s1", prompt("b", "y"), SECOND);
    assertEquals(0, ledger.remembered("s1", prompt("a", "x")));
    assertEquals(600, ledger.remembered("s1", prompt("b", "y")));
  }
}
