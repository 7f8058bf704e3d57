package org.wigeonwharf.schedule;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;

/** Holds the waiting requests of one flow: one class and client account. Not thread-safe. */
final class FlowQueue {
  private final ClassSpec spec;
  private final AccountId account;
  private final TreeMap<Position, WaitingRequest> byTarget = new TreeMap<>();
  private final TreeSet<WaitingRequest> resumed = new TreeSet<>(WaitingRequest.BY_ARRIVAL);

  private record Position(long targetNanos, long sequence) implements Comparable<Position> {
    static Position of(WaitingRequest w) {
      return new Position(w.targetNanos(), w.sequence());
    }

    @Override
    public int compareTo(Position other) {
      int c = Long.compare(targetNanos, other.targetNanos);
      return c != 0 ? c : Long.compare(sequence, other.sequence);
    }
  }

  FlowQueue(ClassSpec spec, AccountId account) {
    this.spec = spec;
    this.account = account;
  }

  ClassSpec spec() {
    return spec;
  }

  AccountId account() {
    return account;
  }

  int rank() {
    return spec.tier().rank();
  }

  int size() {
    return byTarget.size() + resumed.size();
  }

  void add(WaitingRequest w) {
    if (w.resumed()) {
      resumed.add(w);
    } else {
      byTarget.put(Position.of(w), w);
    }
  }

  void remove(WaitingRequest w) {
    if (w.resumed()) {
      resumed.remove(w);
    } else {
      byTarget.remove(Position.of(w));
    }
  }

  /**
   * Returns the request to serve next among those that can still meet their target: resumed streams
   * first, then the request with the least slack.
   *
   * @param minTargetNanos earliest target that can still be met, as monotonic time in nanoseconds
   * @return the request, or null if all are late
   */
  @Nullable WaitingRequest firstOnTime(long minTargetNanos) {
    if (!resumed.isEmpty()) {
      return resumed.first();
    }
    Map.Entry<Position, WaitingRequest> e =
        byTarget.ceilingEntry(new Position(minTargetNanos, Long.MIN_VALUE));
    return e == null ? null : e.getValue();
  }

  /**
   * Returns the request with the least slack, resumed streams first.
   *
   * @return the request, or null if the queue is empty
   */
  @Nullable WaitingRequest first() {
    if (!resumed.isEmpty()) {
      return resumed.first();
    }
    return byTarget.isEmpty() ? null : byTarget.firstEntry().getValue();
  }
}
