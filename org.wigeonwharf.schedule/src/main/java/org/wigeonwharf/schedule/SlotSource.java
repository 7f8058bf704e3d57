package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RequestId;

/** Obtains slot leases from the shard schedulers. */
public interface SlotSource {
  /**
   * Requests a slot. Exactly one of {@link SlotListener#granted} and {@link SlotListener#refused}
   * follows, unless the request is cancelled first.
   *
   * @param request the slot request
   * @param listener called with the decision on the schedule thread; must not block
   */
  void acquire(SlotRequest request, SlotListener listener);

  /**
   * Withdraws a waiting request; a lease granted meanwhile is returned without a call of the
   * listener.
   *
   * @param id the request
   */
  void cancel(RequestId id);

  /**
   * Reports the end of a lease.
   *
   * @param outcome the outcome of the lease
   */
  void end(Outcome outcome);
}
