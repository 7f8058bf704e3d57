package org.wigeonwharf.gateway.http;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.wigeonwharf.model.Clock;

/** VirtualTimers run actions in virtual time, in the order of their times. */
public final class VirtualTimers implements Timers {
  private final PriorityQueue<Waiting> queue =
      new PriorityQueue<>(
          Comparator.comparingLong((Waiting w) -> w.at).thenComparingLong(w -> w.number));
  private long now = Clock.NANOS_PER_SECOND;
  private long count;

  private static final class Waiting {
    private final long at;
    private final long number;
    private final Runnable action;

    Waiting(long at, long number, Runnable action) {
      this.at = at;
      this.number = number;
      this.action = action;
    }
  }

  @Override
  public long nanos() {
    return now;
  }

  @Override
  public Timer after(long delayNanos, Runnable action) {
    Waiting w = new Waiting(now + Math.max(0, delayNanos), count++, action);
    queue.add(w);
    return () -> queue.remove(w);
  }

  /** Lets time pass and runs what is due. */
  public void advanceMillis(long millis) {
    long until = now + millis * Clock.NANOS_PER_MILLI;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      Waiting w = queue.poll();
      now = Math.max(now, w.at);
      w.action.run();
    }
    now = until;
  }
}
