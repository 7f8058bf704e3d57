package org.wigeonwharf.schedule;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;

/** A Lane holds the waiters of one class and client account. Not thread-safe. */
final class Lane {
  private final ClassSpec spec;
  private final AccountId account;
  private final TreeMap<Place, Waiter> waiters = new TreeMap<>();
  private final TreeSet<Waiter> resumed = new TreeSet<>(Waiter.BY_ARRIVAL);

  private record Place(long targetNanos, long sequence) implements Comparable<Place> {
    static Place of(Waiter w) {
      return new Place(w.targetNanos(), w.sequence());
    }

    @Override
    public int compareTo(Place other) {
      int c = Long.compare(targetNanos, other.targetNanos);
      return c != 0 ? c : Long.compare(sequence, other.sequence);
    }
  }

  Lane(ClassSpec spec, AccountId account) {
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
    return waiters.size() + resumed.size();
  }

  void add(Waiter w) {
    if (w.resumed()) {
      resumed.add(w);
    } else {
      waiters.put(Place.of(w), w);
    }
  }

  void remove(Waiter w) {
    if (w.resumed()) {
      resumed.remove(w);
    } else {
      waiters.remove(Place.of(w));
    }
  }

  /**
   * Returns the waiter to serve next among those that can still meet their target: resumed streams
   * first, then by least slack.
   *
   * @param nowNanos targets before this are missed already
   * @return the waiter, or null if all are late
   */
  @Nullable Waiter firstOnTime(long nowNanos) {
    if (!resumed.isEmpty()) {
      return resumed.first();
    }
    Map.Entry<Place, Waiter> e = waiters.ceilingEntry(new Place(nowNanos, Long.MIN_VALUE));
    return e == null ? null : e.getValue();
  }

  /**
   * Returns the waiter with the least slack, resumed streams first.
   *
   * @return the waiter, or null if the lane is empty
   */
  @Nullable Waiter first() {
    if (!resumed.isEmpty()) {
      return resumed.first();
    }
    return waiters.isEmpty() ? null : waiters.firstEntry().getValue();
  }
}
