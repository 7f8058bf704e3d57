package org.wigeonwharf.gateway.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.placement.ServiceLoad;
import org.wigeonwharf.model.Clock;

/**
 * Guards against requests that wait although no server can answer them in time, and against
 * refusals of those that one can.
 */
class DeadlinePolicyTest {
  private static final String SERVICE = "s";
  private static final long PATIENCE_MILLIS = 1_000;
  private static final int SLOTS = 100;
  private static final double SLOT_MILLIS = 200;

  private final SlotTimes slotTimes = new SlotTimes();
  private int routers = 1;
  private final OverloadPolicy policy =
      new DeadlinePolicy(new SharedCapacityEstimator(slotTimes, new ServerUsage(), () -> routers));

  private static QueuedRequest request() {
    long patience = PATIENCE_MILLIS * Clock.NANOS_PER_MILLI;
    return new QueuedRequest(
        SERVICE, 1, "a", SLOT_MILLIS, 100, 0, patience / 4, patience, false, 1);
  }

  private static ServiceLoad load(int taken, int queued) {
    return new ServiceLoad(10, SLOTS, taken, queued, 0, 0);
  }

  private void measure() {
    for (int i = 0; i < 20; i++) {
      slotTimes.record(SERVICE, "r", SLOT_MILLIS, 1, 6);
    }
  }

  private OverloadDecision decide(ServiceLoad load, double slotMillisAhead) {
    return policy.decide(request(), load, slotMillisAhead, 0);
  }

  @Test
  void requestBehindTooManyIsRefusedImmediately() {
    measure();
    double tenSeconds = 10_000 * SLOTS;
    OverloadDecision.Refuse r =
        assertInstanceOf(OverloadDecision.Refuse.class, decide(load(SLOTS, SLOTS), tenSeconds));
    assertEquals(10_000 + SLOT_MILLIS, r.startMillis(), 1);
    assertEquals(PATIENCE_MILLIS, r.patienceMillis(), 1);
  }

  @Test
  void requestThatCanBeAnsweredWaits() {
    measure();
    double halfSecond = 500 * SLOTS;
    assertEquals(new OverloadDecision.Wait(true), decide(load(SLOTS, SLOTS), halfSecond));
  }

  @Test
  void routersShareTheSlots() {
    measure();
    double halfSecond = 500 * SLOTS;
    routers = 20;
    assertInstanceOf(OverloadDecision.Refuse.class, decide(load(SLOTS, SLOTS), halfSecond));
  }

  @Test
  void nothingIsRefusedBeforeAnythingIsMeasured() {
    assertEquals(new OverloadDecision.Wait(false), decide(load(SLOTS, 3 * SLOTS), 1e9));
  }

  @Property(tries = 300, seed = "36")
  void nothingIsRefusedWithHalfOfTheSlotsFree(
      @ForAll @IntRange(max = SLOTS / 2 - 1) int taken,
      @ForAll @DoubleRange(max = 1e9) double slotMillisAhead) {
    measure();
    assertEquals(new OverloadDecision.Wait(false), decide(load(taken, 0), slotMillisAhead));
  }

  @Test
  void serversThatAcceptNothingInTimeAreNotWaitedFor() {
    ServiceLoad closed = new ServiceLoad(0, 0, 0, 0, 0, 5_000);
    assertInstanceOf(OverloadDecision.Refuse.class, decide(closed, 0));
    ServiceLoad opens = new ServiceLoad(0, 0, 0, 0, 0, 500);
    assertEquals(new OverloadDecision.Wait(false), decide(opens, 0));
  }

  @Property(tries = 500, seed = "36")
  void callersObserveRetryAfter(
      @ForAll @DoubleRange(max = 100_000) double opensInMillis,
      @ForAll @DoubleRange(min = 200, max = 30_000) double remainingMillis,
      @ForAll @IntRange(max = 9) int priority) {
    RetryAfter retryAfter = new RetryAfter(new Random(7));
    long millis = retryAfter.millis(opensInMillis, remainingMillis, priority);
    assertTrue(millis > 0 && millis <= remainingMillis / 3, "Retry-After: " + millis);
    if (opensInMillis < remainingMillis / 10) {
      assertTrue(millis + 1 >= opensInMillis, "there is no room yet after " + millis);
    }
  }

  @Test
  void callersReturnSpreadAndTheUrgentFirst() {
    RetryAfter retryAfter = new RetryAfter(new Random(7));
    long latestUrgent = 0;
    long latest = 0;
    long earliest = Long.MAX_VALUE;
    for (int i = 0; i < 1_000; i++) {
      latestUrgent = Math.max(latestUrgent, retryAfter.millis(500, 9_000, 0));
      long millis = retryAfter.millis(500, 9_000, 3);
      latest = Math.max(latest, millis);
      earliest = Math.min(earliest, millis);
    }
    assertTrue(latestUrgent < 650, "the last urgent one: " + latestUrgent);
    assertTrue(earliest < 520 && latest > 950, "the others: " + earliest + " to " + latest);
  }
}
