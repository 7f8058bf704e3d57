package org.wigeonwharf.gateway.http;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.model.Clock;

/**
 * Detects that a server makes no progress on a request, so that the request can be retried on
 * another server. Covers servers that stop responding without closing their connections.
 */
final class StallDetector {
  private final Timers timers;
  private final long responseTimeoutNanos;
  private final long eventTimeoutNanos;
  private final BooleanSupplier onStall;
  private Timers.@Nullable Timer timer;
  private long progressAt;
  private boolean streaming;

  /**
   * Creates a detector that is not started.
   *
   * @param timers clock and timers
   * @param settings the stall timeouts
   * @param route the request's route
   * @param onStall cancels the stalled attempt; returns false if the request has to stay with its
   *     server
   */
  StallDetector(Timers timers, ExchangeSettings settings, Route route, BooleanSupplier onStall) {
    this.timers = timers;
    this.responseTimeoutNanos =
        timeoutNanos(settings, settings.stallObjectiveFactor() * route.objectiveMillis());
    this.eventTimeoutNanos =
        timeoutNanos(settings, settings.stallIntervalFactor() * route.interTokenObjectiveMillis());
    this.onStall = onStall;
  }

  private static long timeoutNanos(ExchangeSettings settings, double millis) {
    return (long) Math.max(settings.minStallMillis(), millis) * Clock.NANOS_PER_MILLI;
  }

  /**
   * Starts to monitor an attempt.
   *
   * @param streaming whether the caller has already received events
   */
  void start(boolean streaming) {
    stop();
    this.streaming = streaming;
    progressAt = timers.nanos();
    scheduleCheck();
  }

  /** Records that an event was received. */
  void recordProgress() {
    streaming = true;
    progressAt = timers.nanos();
  }

  /** Stops monitoring. */
  void stop() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private long currentTimeoutNanos() {
    return streaming ? eventTimeoutNanos : responseTimeoutNanos;
  }

  private void scheduleCheck() {
    long idle = timers.nanos() - progressAt;
    timer = timers.schedule(currentTimeoutNanos() - idle, this::check);
  }

  private void check() {
    timer = null;
    if (timers.nanos() - progressAt >= currentTimeoutNanos()) {
      if (onStall.getAsBoolean()) {
        return;
      }
      progressAt = timers.nanos();
    }
    scheduleCheck();
  }
}
