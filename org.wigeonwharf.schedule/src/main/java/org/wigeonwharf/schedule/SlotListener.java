package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RefusalReason;

/** A SlotListener hears what becomes of one slot request. */
public interface SlotListener {
  /**
   * A slot was leased; the listener must report the lease's end.
   *
   * @param lease the lease
   */
  void granted(Lease lease);

  /**
   * The request was refused and nothing of it was run under this slot request.
   *
   * @param reason why
   * @param retryAfterMillis when another try may succeed
   */
  void refused(RefusalReason reason, long retryAfterMillis);

  /** The running request is to be cancelled, and its rest queued again, for a higher tier. */
  void preempted();
}
