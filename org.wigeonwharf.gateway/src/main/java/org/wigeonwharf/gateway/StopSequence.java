package org.wigeonwharf.gateway;

import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.http.Timers;
import org.wigeonwharf.model.Clock;

/**
 * Runs the stages of a graceful stop.
 *
 * <p>Requests are accepted until the load balancer has had time to detect the stop, and refused
 * after that. The sequence ends with the last answer, or shortly before the grace period is over.
 * All work runs on the thread of the timers.
 */
final class StopSequence {
  /**
   * Time in ms that requests are still accepted. The load balancer checks readiness every second
   * and needs two failures to detect the stop. Later requests are refused, since the router may
   * have too little time left to complete them.
   */
  private static final long ACCEPT_MILLIS = 2_400;

  /** Time in ms before the end of the grace period at which running requests are aborted. */
  static final long ABORT_MARGIN_MILLIS = 700;

  /** Defines the router's actions at each stage of the stop. */
  interface Stages {
    /** Closes each caller's connection after its next answer. */
    void drain();

    /** Refuses new requests. */
    void refuse();

    /** Aborts running requests and releases all resources; the last stage. */
    void end();
  }

  private final Timers timers;
  private final Stages stages;
  private final IntSupplier pendingResponses;
  private Timers.@Nullable Timer abortTimer;
  private boolean started;
  private boolean refusing;
  private boolean ended;

  /**
   * Creates a sequence that is not started.
   *
   * @param timers runs the stages
   * @param stages the actions of the stages
   * @param pendingResponses supplies the number of connections with an incomplete answer
   */
  StopSequence(Timers timers, Stages stages, IntSupplier pendingResponses) {
    this.timers = timers;
    this.stages = stages;
    this.pendingResponses = pendingResponses;
  }

  /**
   * Starts the stop. Further calls have no effect.
   *
   * @param graceMillis time in ms until the process is killed
   */
  void start(long graceMillis) {
    if (started) {
      return;
    }
    started = true;
    stages.drain();
    long abortAfterMillis = Math.max(0, graceMillis - ABORT_MARGIN_MILLIS);
    abortTimer = timers.schedule(abortAfterMillis * Clock.NANOS_PER_MILLI, this::end);
    timers.schedule(
        Math.min(ACCEPT_MILLIS, abortAfterMillis) * Clock.NANOS_PER_MILLI, this::refuse);
  }

  private void refuse() {
    if (ended) {
      return;
    }
    refusing = true;
    stages.refuse();
    onCallerDisconnected();
  }

  /** Ends the stop early if no answer is left; called when a caller's connection has closed. */
  void onCallerDisconnected() {
    if (refusing && pendingResponses.getAsInt() == 0) {
      end();
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    if (abortTimer != null) {
      abortTimer.cancel();
    }
    if (!refusing) {
      stages.refuse();
    }
    stages.end();
  }
}
