package org.wigeonwharf.schedule;

import java.util.Comparator;
import org.wigeonwharf.config.ClassSpec;

/**
 * A Waiter is a slot request in the queue.
 *
 * @param request the request
 * @param spec its class
 * @param sequence position among the arrivals
 * @param sinceNanos when it began to wait
 * @param costMillis expected time that it will hold a slot, in milliseconds
 * @param resumed true for the rest of a preempted stream
 */
record Waiter(
    SlotRequest request,
    ClassSpec spec,
    long sequence,
    long sinceNanos,
    long costMillis,
    boolean resumed) {
  static final Comparator<Waiter> BY_DEADLINE =
      Comparator.comparingLong(Waiter::deadlineNanos).thenComparingLong(Waiter::sequence);
  static final Comparator<Waiter> BY_ARRIVAL = Comparator.comparingLong(Waiter::sequence);

  int rank() {
    return spec.tier().rank();
  }

  /**
   * Returns when its first token should come.
   *
   * @return monotonic time in nanoseconds
   */
  long targetNanos() {
    return sinceNanos + spec.firstTokenTarget().toNanos();
  }

  /**
   * Returns when it is refused.
   *
   * @return monotonic time in nanoseconds
   */
  long deadlineNanos() {
    return sinceNanos + spec.deadline().toNanos();
  }

  /**
   * Returns the same waiter under another state of its class.
   *
   * @param next the class
   * @param nextCostMillis expected slot time in milliseconds
   * @return the waiter
   */
  Waiter under(ClassSpec next, long nextCostMillis) {
    return new Waiter(request, next, sequence, sinceNanos, nextCostMillis, resumed);
  }
}
