package org.wigeonwharf.gateway.http;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.model.Clock;

/**
 * A SilenceWatch notices that a server stays silent on a request, so that another server may do the
 * work instead. Answers servers that go dark without closing their connections.
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
   * Creates a watch that has not begun.
   *
   * @param timers time and timers
   * @param settings how long a server may be silent
   * @param route the request's route
   * @param onStall gives the server up; false if the request has to stay with it
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
   * Begins to watch a send.
   *
   * @param streaming whether the caller has events already
   */
  void start(boolean streaming) {
    stop();
    this.streaming = streaming;
    progressAt = timers.nanos();
    scheduleCheck();
  }

  /** Notes that an event has come. */
  void recordProgress() {
    streaming = true;
    progressAt = timers.nanos();
  }

  /** Ends the watch. */
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
