package org.wigeonwharf.schedule;

import java.util.Comparator;
import org.wigeonwharf.config.ClassSpec;

/**
 * A Waiter is a slot request in the queue.
 *
 * @param request the request
 * @param spec its class
 * @param sequence position among the arrivals
 * @param waitingSinceNanos when it began to wait
 * @param costMillis expected time that it will hold a slot, in milliseconds
 * @param resumed true for the rest of a preempted stream
 */
record WaitingRequest(
    SlotRequest request,
    ClassSpec spec,
    long sequence,
    long waitingSinceNanos,
    long costMillis,
    boolean resumed) {
  static final Comparator<WaitingRequest> BY_DEADLINE =
      Comparator.comparingLong(WaitingRequest::deadlineNanos)
          .thenComparingLong(WaitingRequest::sequence);
  static final Comparator<WaitingRequest> BY_ARRIVAL =
      Comparator.comparingLong(WaitingRequest::sequence);

  int rank() {
    return spec.tier().rank();
  }

  /**
   * Returns when its first token should come.
   *
   * @return monotonic time in nanoseconds
   */
  long targetNanos() {
    return waitingSinceNanos + spec.firstTokenTarget().toNanos();
  }

  /**
   * Returns when it is refused.
   *
   * @return monotonic time in nanoseconds
   */
  long deadlineNanos() {
    return waitingSinceNanos + spec.deadline().toNanos();
  }

  /**
   * Returns the same waiter under another state of its class.
   *
   * @param next the class
   * @param nextCostMillis expected slot time in milliseconds
   * @return the waiter
   */
  WaitingRequest withClass(ClassSpec next, long nextCostMillis) {
    return new WaitingRequest(request, next, sequence, waitingSinceNanos, nextCostMillis, resumed);
  }
}
