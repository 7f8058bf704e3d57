package org.wigeonwharf.standin.measure;

import java.util.PriorityQueue;
import org.wigeonwharf.model.Clock;

/** Provides the clock and the event queue of a discrete-event simulation. */
final class VirtualTime implements Clock {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long scheduledCount;

  private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int c = Long.compare(atNanos, other.atNanos);
      return c != 0 ? c : Long.compare(sequence, other.sequence);
    }
  }

  @Override
  public long nanos() {
    return now;
  }

  void schedule(long delayNanos, Runnable task) {
    events.add(new Event(now + delayNanos, scheduledCount++, task));
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event e = events.poll();
      now = e.atNanos();
      e.task().run();
    }
    now = endNanos;
  }
}
