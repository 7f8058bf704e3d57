package org.wigeonwharf.schedule;

import java.util.Comparator;
import org.wigeonwharf.config.ClassSpec;

/**
 * A slot request in the wait queue.
 *
 * @param request the request
 * @param spec its class
 * @param sequence number in order of arrival
 * @param waitingSinceNanos monotonic time at which it began to wait, in nanoseconds
 * @param costMillis expected time that it will hold a slot, in milliseconds
 * @param resumed true for the remainder of a preempted stream
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

  /** Returns the rank of its tier; a lower rank is a higher tier. */
  int rank() {
    return spec.tier().rank();
  }

  /**
   * Returns the target time of its first token.
   *
   * @return monotonic time in nanoseconds
   */
  long targetNanos() {
    return waitingSinceNanos + spec.firstTokenTarget().toNanos();
  }

  /**
   * Returns the time from which it is refused.
   *
   * @return monotonic time in nanoseconds
   */
  long deadlineNanos() {
    return waitingSinceNanos + spec.deadline().toNanos();
  }

  /**
   * Returns this request with another specification of its class.
   *
   * @param next the specification
   * @param nextCostMillis expected slot time in milliseconds
   * @return a copy
   */
  WaitingRequest withClass(ClassSpec next, long nextCostMillis) {
    return new WaitingRequest(request, next, sequence, waitingSinceNanos, nextCostMillis, resumed);
  }
}
