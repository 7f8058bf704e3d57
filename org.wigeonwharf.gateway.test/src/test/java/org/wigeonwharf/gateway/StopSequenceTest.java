package org.wigeonwharf.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.http.VirtualTimers;

class StopSequenceTest {
  private static final long GRACE_MILLIS = 8_000;

  private final VirtualTimers timers = new VirtualTimers();
  private final List<String> stages = new ArrayList<>();
  private int active = 1;
  private final StopSequence stop =
      new StopSequence(
          timers,
          new StopSequence.Stages() {
            @Override
            public void drain() {
              stages.add("drain");
            }

            @Override
            public void refuse() {
              stages.add("refuse");
            }

            @Override
            public void end() {
              stages.add("end");
            }
          },
          () -> active);

  @Test
  void requestsAreTakenUntilTheBalancerMissedTwoAnswers() {
    stop.begin(GRACE_MILLIS);
    timers.advanceMillis(2_100);
    assertEquals(List.of("drain"), stages);
  }

  @Test
  void requestSentThreeSecondsAfterTheSignalIsRefused() {
    stop.begin(GRACE_MILLIS);
    timers.advanceMillis(2_900);
    assertEquals(List.of("drain", "refuse"), stages);
  }

  @Test
  void processEndsWithItsLastAnswer() {
    stop.begin(GRACE_MILLIS);
    timers.advanceMillis(4_000);
    active = 0;
    stop.callerLeft();
    assertEquals(List.of("drain", "refuse", "end"), stages);
    timers.advanceMillis(GRACE_MILLIS);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void processThatServesNothingWaitsForTheBalancerToo() {
    active = 0;
    stop.begin(GRACE_MILLIS);
    stop.callerLeft();
    timers.advanceMillis(2_100);
    assertEquals(List.of("drain"), stages);
    timers.advanceMillis(900);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void whatStillRunsIsCutBeforeTheGraceIsOver() {
    stop.begin(GRACE_MILLIS);
    timers.advanceMillis(7_200);
    assertEquals(List.of("drain", "refuse"), stages);
    timers.advanceMillis(300);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void shortGraceIsKept() {
    stop.begin(1_000);
    timers.advanceMillis(500);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void secondSignalChangesNothing() {
    stop.begin(GRACE_MILLIS);
    timers.advanceMillis(1_000);
    stop.begin(GRACE_MILLIS);
    timers.advanceMillis(1_500);
    assertEquals(List.of("drain", "refuse"), stages);
  }
}
