package org.wigeonwharf.schedule;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.Clock;

/**
 * Decides which requests may wait in the queue of a shard.
 *
 * <p>Each class has its own waiting places, which are reserved and count as taken even while they
 * are empty; the other places are shared. When the shared places are full, the newest request of
 * the lowest tier that uses them is shed.
 */
final class AdmissionControl {
  private final WaitQueue queue;
  private final RunningLeases running;

  AdmissionControl(WaitQueue queue, RunningLeases running) {
    this.queue = queue;
    this.running = running;
  }

  /**
   * Returns the request to shed because the queue is over its capacity.
   *
   * @param classes the published classes
   * @param capacity maximum number of waiting requests, including the classes' own places
   * @return the request, or null if the queue is within its capacity or no class uses shared places
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
   * Returns whether a new request is predicted to get no slot before its deadline.
   *
   * <p>The prediction counts only work of the request's own and higher tiers. A request that fits
   * in its class's own places is never refused, and neither is any request while a lower tier uses
   * shared places or has running leases that can be preempted.
   *
   * @param w the request, not yet queued
   * @param slots slots in service
   * @param classes the published classes
   * @param nowNanos the current monotonic time in nanoseconds
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
   * Predicts the wait of a new request from the expected slot time of the queue.
   *
   * @param rank the rank of its tier
   * @param slots slots in service
   * @return milliseconds, counting the waiting requests of its own and higher tiers
   */
  double predictedWaitMillis(int rank, int slots) {
    return queue.costMillisUpTo(rank) / (double) Math.max(1, slots);
  }
}
