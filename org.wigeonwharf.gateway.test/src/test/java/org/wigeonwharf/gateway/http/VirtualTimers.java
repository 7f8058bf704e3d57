package org.wigeonwharf.gateway.http;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.wigeonwharf.model.Clock;

/** Runs scheduled actions in virtual time, in the order of their due times. */
public final class VirtualTimers implements Timers {
  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((ScheduledAction a) -> a.dueAt)
              .thenComparingLong(a -> a.number));
  private long now = Clock.NANOS_PER_SECOND;
  private long nextNumber;

  private static final class ScheduledAction {
    private final long dueAt;
    private final long number;
    private final Runnable action;

    ScheduledAction(long dueAt, long number, Runnable action) {
      this.dueAt = dueAt;
      this.number = number;
      this.action = action;
    }
  }

  @Override
  public long nanos() {
    return now;
  }

  @Override
  public Timer schedule(long delayNanos, Runnable action) {
    ScheduledAction scheduled =
        new ScheduledAction(now + Math.max(0, delayNanos), nextNumber++, action);
    queue.add(scheduled);
    return () -> queue.remove(scheduled);
  }

  /** Advances the time and runs the actions that become due. */
  public void advanceMillis(long millis) {
    long until = now + millis * Clock.NANOS_PER_MILLI;
    while (!queue.isEmpty() && queue.peek().dueAt <= until) {
      ScheduledAction scheduled = queue.poll();
      now = Math.max(now, scheduled.dueAt);
      scheduled.action.run();
    }
    now = until;
  }
}
