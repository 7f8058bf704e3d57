package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RequestId;

/** A SlotSource obtains slot leases from the shard schedulers. */
public interface SlotSource {
  /**
   * Asks for a slot. Exactly one of {@link SlotListener#granted} and {@link SlotListener#refused}
   * follows, unless the request is cancelled first.
   *
   * @param request what is wanted
   * @param listener hears the decision on a schedule thread; must not block
   */
  void acquire(SlotRequest request, SlotListener listener);

  /**
   * Withdraws a waiting request; a lease granted meanwhile is returned without the listener.
   *
   * @param id the request
   */
  void cancel(RequestId id);

  /**
   * Reports the end of a lease.
   *
   * @param outcome how it ended
   */
  void end(Outcome outcome);
}
