package org.wigeonwharf.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;

/** Tracks the granted leases that have not ended and the slots they occupy. Not thread-safe. */
final class RunningLeases {
  /** Lease age from which foreground work counts as background, in milliseconds. */
  static final long MAX_SHORT_MILLIS = 10_000;

  private final Map<RequestId, RunningLease> byId = new HashMap<>();
  private final TreeSet<RunningLease> preemptible = new TreeSet<>(RunningLease.PREEMPTION_ORDER);
  private final Map<ClassId, ClassCount> counts = new HashMap<>();
  private final Deque<RunningLease> foregroundByAge = new ArrayDeque<>();

  /** Number of running leases of one class. */
  private static final class ClassCount {
    final ClassSpec spec;
    int count;

    ClassCount(ClassSpec spec) {
      this.spec = spec;
    }
  }

  /**
   * Adds a lease and occupies its slot.
   *
   * @param r the lease
   * @param isPreemptible true if it may be preempted for a higher tier
   */
  void add(RunningLease r, boolean isPreemptible) {
    byId.put(r.request, r);
    r.server.occupy(r.background);
    adjustCount(r, 1);
    if (isPreemptible) {
      preemptible.add(r);
    }
    if (!r.background) {
      foregroundByAge.add(r);
    }
  }

  /**
   * Removes a lease and frees its slot.
   *
   * @param id its request
   * @return the lease, or null if the request has none
   */
  @Nullable RunningLease remove(RequestId id) {
    RunningLease r = byId.remove(id);
    if (r != null) {
      preemptible.remove(r);
      r.server.release(r.background);
      adjustCount(r, -1);
    }
    return r;
  }

  private void adjustCount(RunningLease r, int change) {
    ClassSpec spec = r.spec;
    if (spec != null) {
      counts.computeIfAbsent(spec.id(), c -> new ClassCount(spec)).count += change;
    }
  }

  /**
   * Predicts the time to the next end of a lease.
   *
   * @param estimates expected slot time of each class
   * @return milliseconds, 0 if no lease is running
   */
  double expectedMillisToNextEnd(AnswerEstimates estimates) {
    double endsPerMilli = 0;
    for (ClassCount c : counts.values()) {
      endsPerMilli += c.count / (double) estimates.slotMillis(c.spec);
    }
    return endsPerMilli == 0 ? 0 : 1 / endsPerMilli;
  }

  @Nullable RunningLease get(RequestId id) {
    return byId.get(id);
  }

  boolean contains(RequestId id) {
    return byId.containsKey(id);
  }

  /**
   * Marks a lease as preempted, so that it is not preempted again.
   *
   * @param r the lease
   */
  void markPreempted(RunningLease r) {
    r.preempted = true;
    preemptible.remove(r);
  }

  /**
   * Returns the leases that may be preempted.
   *
   * @return a live view, lowest tier first, then the newest
   */
  Collection<RunningLease> preemptible() {
    return preemptible;
  }

  /**
   * Returns whether a lease below a tier could be preempted.
   *
   * @param rank the tier's rank
   * @return true if a preemptible lease of a lower tier is running
   */
  boolean canPreemptBelow(int rank) {
    return !preemptible.isEmpty() && preemptible.first().rank() > rank;
  }

  /**
   * Counts foreground leases that have reached {@link #MAX_SHORT_MILLIS} as background.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void moveLongToBackground(long nowNanos) {
    long limitNanos = MAX_SHORT_MILLIS * Clock.NANOS_PER_MILLI;
    while (!foregroundByAge.isEmpty()) {
      RunningLease r = foregroundByAge.peek();
      boolean active = byId.get(r.request) == r;
      if (active && nowNanos - r.grantedNanos < limitNanos) {
        return;
      }
      foregroundByAge.poll();
      if (active) {
        r.background = true;
        r.server.moveToBackground();
      }
    }
  }

  List<RunningLease> requestedBy(NodeId node) {
    List<RunningLease> result = new ArrayList<>();
    for (RunningLease r : byId.values()) {
      if (r.request.origin().equals(node)) {
        result.add(r);
      }
    }
    return result;
  }

  Collection<RunningLease> all() {
    return byId.values();
  }

  int size() {
    return byId.size();
  }
}
