package org.wigeonwharf.gateway.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.store.StorePosition;

/** Guards against servers that are published, unknown to this router, and taken for none. */
class PositionCheckTest {
  private final VirtualTimers timers = new VirtualTimers();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final SimulatedStore.Client client = store.new Client(2);
  private StorePosition read = store.position();
  private StorePosition behind = StorePosition.NONE;
  private int completions;
  private final PositionCheck check =
      new PositionCheck(
          client,
          () -> read,
          position -> behind = position,
          timers,
          () -> completions++,
          new MetricRegistry());

  private void change() {
    store.put("key", position -> new PublishedItem.Unusable("key", "none"));
  }

  private void requestNow() {
    check.request(timers.nanos());
  }

  @Test
  void nothingIsCompleteBeforeAnAnswer() {
    assertFalse(check.isCompleteUntil(timers.nanos()));
    requestNow();
    assertFalse(check.isCompleteUntil(timers.nanos()));
    long asked = timers.nanos();
    timers.advanceMillis(10);
    assertTrue(check.isCompleteUntil(asked));
    assertFalse(check.isCompleteUntil(asked + 1));
    assertEquals(1, completions);
  }

  @Test
  void changeThatWasNotReadIsNamedAndAwaited() {
    change();
    long asked = timers.nanos();
    requestNow();
    timers.advanceMillis(10);
    assertFalse(check.isCompleteUntil(asked));
    assertEquals(store.position(), behind);
    assertEquals(0, completions);
    read = store.position();
    check.recordRead();
    assertTrue(check.isCompleteUntil(asked));
  }

  @Test
  void positionOfAnotherEraCompletesNothing() {
    store.restore(store.copy());
    requestNow();
    timers.advanceMillis(10);
    assertFalse(check.isCompleteUntil(0));
    read = new StorePosition(read.era(), read.revision() + 100);
    assertFalse(check.isCompleteUntil(0));
  }

  // Guards against a request that takes an answer for its own which was on its way before it.
  @Test
  void requestDuringCallNeedsAnotherCall() {
    requestNow();
    timers.advanceMillis(1);
    long later = timers.nanos();
    check.request(later);
    timers.advanceMillis(10);
    assertFalse(check.isCompleteUntil(later));
    timers.advanceMillis(110);
    assertTrue(check.isCompleteUntil(later));
    assertEquals(2, store.calls());
  }

  @Test
  void callsArePaced() {
    for (int i = 0; i < 1_000; i++) {
      requestNow();
      timers.advanceMillis(1);
    }
    assertTrue(store.calls() <= 11, "calls: " + store.calls());
    client.setCutOff(true);
    int before = store.calls();
    for (int i = 0; i < 5_000; i++) {
      requestNow();
      timers.advanceMillis(1);
    }
    assertTrue(store.calls() - before <= 6, "calls: " + (store.calls() - before));
  }

  @Test
  void failedCallIsRepeated() {
    client.setCutOff(true);
    final long asked = timers.nanos();
    requestNow();
    timers.advanceMillis(500);
    client.setCutOff(false);
    check.request(asked);
    timers.advanceMillis(1_000);
    assertTrue(check.isCompleteUntil(asked));
  }
}
