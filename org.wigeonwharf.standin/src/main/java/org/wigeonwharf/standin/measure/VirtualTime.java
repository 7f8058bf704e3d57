package org.wigeonwharf.standin.measure;

import java.util.PriorityQueue;
import org.wigeonwharf.model.Clock;

/** VirtualTime is a clock that jumps from one planned event to the next. */
final class VirtualTime implements Clock {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long planned;

  private record Event(long at, long order, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int c = Long.compare(at, other.at);
      return c != 0 ? c : Long.compare(order, other.order);
    }
  }

  @Override
  public long nanos() {
    return now;
  }

  void after(long nanos, Runnable task) {
    events.add(new Event(now + nanos, planned++, task));
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event e = events.poll();
      now = e.at();
      e.task().run();
    }
    now = end;
  }
}
