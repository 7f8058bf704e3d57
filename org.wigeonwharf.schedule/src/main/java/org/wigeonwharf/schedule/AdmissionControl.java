package org.wigeonwharf.schedule;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.Clock;

/**
 * An Admission decides who may wait.
 *
 * <p>Each class has its own waiting places, which count as taken even while they are empty; the
 * rest is shared. When the shared places are full, the newest waiter of the lowest tier that uses
 * them gives way.
 */
final class AdmissionControl {
  private final WaitQueue queue;
  private final RunningLeases running;

  AdmissionControl(WaitQueue queue, RunningLeases running) {
    this.queue = queue;
    this.running = running;
  }

  /**
   * Returns the waiter that has to go because the queue is too full.
   *
   * @param classes the published classes
   * @param capacity most requests that may wait
   * @return the waiter, or null if all may stay
   */
  @Nullable WaitingRequest nextToShed(Collection<ClassSpec> classes, int capacity) {
    long taken = 0;
    for (ClassSpec c : classes) {
      taken += Math.max(queue.sizeOf(c.id()), c.waitingPlaces());
    }
    if (taken <= capacity) {
      return null;
    }
    return classes.stream()
        .filter(this::usesSharedPlaces)
        .map(c -> queue.newestOf(c.id()))
        .filter(Objects::nonNull)
        .max(
            Comparator.comparingInt(WaitingRequest::rank)
                .thenComparingLong(WaitingRequest::sequence))
        .orElse(null);
  }

  private boolean usesSharedPlaces(ClassSpec c) {
    return queue.sizeOf(c.id()) > c.waitingPlaces();
  }

  /**
   * Tells whether a new waiter can't get a slot before its deadline.
   *
   * <p>The prediction counts only work of its own and higher tiers. It refuses nobody while a lower
   * tier waits on shared places or runs what could be preempted, nor who fits in its class's own
   * places.
   *
   * @param w the waiter, not yet queued
   * @param slots slots in service
   * @param classes the published classes
   * @param nowNanos the time
   * @return true if it should be refused at once
   */
  boolean wouldMissDeadline(
      WaitingRequest w, int slots, Collection<ClassSpec> classes, long nowNanos) {
    if (queue.sizeOf(w.spec().id()) < w.spec().waitingPlaces()) {
      return false;
    }
    if (running.canPreemptBelow(w.rank()) || canShedLowerTier(w.rank(), classes)) {
      return false;
    }
    double remainingMillis = (w.deadlineNanos() - nowNanos) / (double) Clock.NANOS_PER_MILLI;
    return predictedWaitMillis(w.rank(), slots) > remainingMillis;
  }

  private boolean canShedLowerTier(int rank, Collection<ClassSpec> classes) {
    return classes.stream().anyMatch(c -> c.tier().rank() > rank && usesSharedPlaces(c));
  }

  /**
   * Predicts the wait of a new request.
   *
   * @param rank the rank of its tier
   * @param slots slots in service
   * @return milliseconds, counting the waiters of its own and higher tiers
   */
  double predictedWaitMillis(int rank, int slots) {
    return queue.costMillisUpTo(rank) / (double) Math.max(1, slots);
  }
}
