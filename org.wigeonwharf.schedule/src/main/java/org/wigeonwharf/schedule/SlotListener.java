package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RefusalReason;

/** Receives the decisions on one slot request. */
public interface SlotListener {
  /**
   * Called when a slot is leased; the listener must report the end of the lease with {@link
   * SlotSource#end}.
   *
   * @param lease the lease
   */
  void granted(Lease lease);

  /**
   * Called when the request is refused; nothing was run under this slot request.
   *
   * @param reason the reason
   * @param retryAfterMillis time in milliseconds after which a retry may succeed
   */
  void refused(RefusalReason reason, long retryAfterMillis);

  /**
   * Called when the running request must be cancelled and its remainder queued again, to free the
   * slot for a higher tier.
   */
  void preempted();
}
