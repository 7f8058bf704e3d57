package org.wigeonwharf.gateway;

import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.http.Timers;
import org.wigeonwharf.model.Clock;

/**
 * A StopSequence is a graceful stop in order: requests are still taken until the balancer must have
 * noticed, then refused, and the process ends with its last answer or shortly before the grace is
 * over. All work runs on the thread of the timers.
 */
final class StopSequence {
  /**
   * How long, in ms, requests are still taken: the balancer asks each second and needs two misses.
   * What comes later reaches a router that may have too little time left to end it.
   */
  private static final long TAKE_MILLIS = 2_400;

  /** Time in ms before the end of the grace at which what still runs is cut. */
  static final long CUT_MARGIN_MILLIS = 700;

  /** Stages are what the sequence does to the router. */
  interface Stages {
    /** Lets each caller's connection end with its next answer. */
    void drain();

    /** Refuses requests from now on. */
    void refuse();

    /** Ends what is left; the last stage. */
    void end();
  }

  private final Timers timers;
  private final Stages stages;
  private final IntSupplier active;
  private Timers.@Nullable Timer cut;
  private boolean begun;
  private boolean refusing;
  private boolean ended;

  /**
   * Creates a sequence that has not begun.
   *
   * @param timers run the stages
   * @param stages what to do
   * @param active the number of callers that wait for an answer or its last bytes
   */
  StopSequence(Timers timers, Stages stages, IntSupplier active) {
    this.timers = timers;
    this.stages = stages;
    this.active = active;
  }

  /**
   * Begins to stop; a second call does nothing.
   *
   * @param graceMillis time until the process is killed
   */
  void begin(long graceMillis) {
    if (begun) {
      return;
    }
    begun = true;
    stages.drain();
    long cutAfter = Math.max(0, graceMillis - CUT_MARGIN_MILLIS);
    cut = timers.schedule(cutAfter * Clock.NANOS_PER_MILLI, this::end);
    timers.schedule(Math.min(TAKE_MILLIS, cutAfter) * Clock.NANOS_PER_MILLI, this::refuse);
  }

  private void refuse() {
    if (ended) {
      return;
    }
    refusing = true;
    stages.refuse();
    callerLeft();
  }

  /** Notes that a caller's connection has ended. */
  void callerLeft() {
    if (refusing && active.getAsInt() == 0) {
      end();
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    if (cut != null) {
      cut.cancel();
    }
    if (!refusing) {
      stages.refuse();
    }
    stages.end();
  }
}
