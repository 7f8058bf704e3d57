package org.wigeonwharf.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.http.VirtualTimers;

/**
 * Guards against a stop that refuses requests before the load balancer has detected it, aborts
 * answers too early, or lets requests run until the process is killed.
 */
class StopSequenceTest {
  private static final long GRACE_MILLIS = 8_000;

  private final VirtualTimers timers = new VirtualTimers();
  private final List<String> stages = new ArrayList<>();
  private int pendingResponses = 1;
  private final StopSequence stopSequence =
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
          () -> pendingResponses);

  @Test
  void requestsAreAcceptedUntilTwoHealthChecksFail() {
    stopSequence.start(GRACE_MILLIS);
    timers.advanceMillis(2_100);
    assertEquals(List.of("drain"), stages);
  }

  @Test
  void requestsAreRefusedWithinThreeSecondsOfSignal() {
    stopSequence.start(GRACE_MILLIS);
    timers.advanceMillis(2_900);
    assertEquals(List.of("drain", "refuse"), stages);
  }

  @Test
  void stopEndsWithLastAnswer() {
    stopSequence.start(GRACE_MILLIS);
    timers.advanceMillis(4_000);
    pendingResponses = 0;
    stopSequence.onCallerDisconnected();
    assertEquals(List.of("drain", "refuse", "end"), stages);
    timers.advanceMillis(GRACE_MILLIS);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void idleRouterAlsoWaitsForLoadBalancer() {
    pendingResponses = 0;
    stopSequence.start(GRACE_MILLIS);
    stopSequence.onCallerDisconnected();
    timers.advanceMillis(2_100);
    assertEquals(List.of("drain"), stages);
    timers.advanceMillis(900);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void runningRequestsAreAbortedBeforeGracePeriodEnds() {
    stopSequence.start(GRACE_MILLIS);
    timers.advanceMillis(7_200);
    assertEquals(List.of("drain", "refuse"), stages);
    timers.advanceMillis(300);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void shortGracePeriodIsRespected() {
    stopSequence.start(1_000);
    timers.advanceMillis(500);
    assertEquals(List.of("drain", "refuse", "end"), stages);
  }

  @Test
  void secondSignalHasNoEffect() {
    stopSequence.start(GRACE_MILLIS);
    timers.advanceMillis(1_000);
    stopSequence.start(GRACE_MILLIS);
    timers.advanceMillis(1_500);
    assertEquals(List.of("drain", "refuse"), stages);
  }
}
