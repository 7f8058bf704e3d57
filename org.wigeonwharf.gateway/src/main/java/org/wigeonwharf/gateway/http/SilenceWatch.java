package org.wigeonwharf.gateway.http;

import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.model.Clock;

/**
 * A SilenceWatch notices that a server stays silent on a request, so that another server may do the
 * work instead. Answers servers that go dark without closing their connections.
 */
final class SilenceWatch {
  private final Timers timers;
  private final long answerNanos;
  private final long eventNanos;
  private final BooleanSupplier giveUp;
  private Timers.@Nullable Timer timer;
  private long progressAt;
  private boolean streaming;

  /**
   * Creates a watch that has not begun.
   *
   * @param timers time and timers
   * @param settings how long a server may be silent
   * @param route the request's route
   * @param giveUp gives the server up; false if the request has to stay with it
   */
  SilenceWatch(Timers timers, ExchangeSettings settings, Route route, BooleanSupplier giveUp) {
    this.timers = timers;
    this.answerNanos = atLeast(settings, settings.silenceObjectives() * route.objectiveMillis());
    this.eventNanos = atLeast(settings, settings.silenceGaps() * route.interTokenObjectiveMillis());
    this.giveUp = giveUp;
  }

  private static long atLeast(ExchangeSettings settings, double millis) {
    return (long) Math.max(settings.minSilenceMillis(), millis) * Clock.NANOS_PER_MILLI;
  }

  /**
   * Begins to watch a send.
   *
   * @param streaming whether the caller has events already
   */
  void begin(boolean streaming) {
    stop();
    this.streaming = streaming;
    progressAt = timers.nanos();
    await();
  }

  /** Notes that an event has come. */
  void heard() {
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

  private long limit() {
    return streaming ? eventNanos : answerNanos;
  }

  private void await() {
    long idle = timers.nanos() - progressAt;
    timer = timers.after(limit() - idle, this::check);
  }

  private void check() {
    timer = null;
    if (timers.nanos() - progressAt >= limit()) {
      if (giveUp.getAsBoolean()) {
        return;
      }
      progressAt = timers.nanos();
    }
    await();
  }
}
