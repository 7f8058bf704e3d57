package org.wigeonwharf.gateway.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;

/** Schedules actions on an event loop. */
public final class EventLoopTimers implements Timers {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopTimers.class);

  private final EventLoop loop;
  private final Clock clock;

  /**
   * Creates timers.
   *
   * @param loop the event loop that runs the actions
   * @param clock monotonic clock
   */
  public EventLoopTimers(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  @Override
  public long nanos() {
    return clock.nanos();
  }

  @Override
  public Timer schedule(long delayNanos, Runnable action) {
    Future<?> f = loop.schedule(() -> run(action), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }

  /** Runs an action and logs its exception, which the future of the task would only keep. */
  private static void run(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      LOG.atError()
          .addKeyValue("event", "timer.failed")
          .addKeyValue("reason", String.valueOf(e))
          .setCause(e)
          .log("a scheduled action failed");
    }
  }
}
