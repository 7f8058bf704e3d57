package org.wigeonwharf.gateway.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wigeonwharf.model.Clock;

/** Schedules actions on an event loop. */
public final class EventLoopTimers implements Timers {
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
    Future<?> f = loop.schedule(action, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    return () -> f.cancel(false);
  }
}
