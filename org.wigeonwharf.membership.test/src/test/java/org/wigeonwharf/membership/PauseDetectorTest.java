package org.wigeonwharf.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.wigeonwharf.model.Clock;

/** Guards against pauses of the process that go unnoticed or are reported twice. */
class PauseDetectorTest {
  @Property(tries = 300, seed = "31")
  void onlyGapAboveThresholdIsReportedAndOnlyOnce(
      @ForAll long startNanos, @ForAll @LongRange(min = 0, max = 3_000) long gapMillis) {
    PauseDetector detector = new PauseDetector(startNanos);
    long resumedNanos = startNanos + gapMillis * Clock.NANOS_PER_MILLI;
    assertEquals(gapMillis > 1_000, detector.check(resumedNanos));
    assertEquals(false, detector.check(resumedNanos + 20 * Clock.NANOS_PER_MILLI));
  }
}
