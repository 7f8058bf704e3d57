package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;

/** A decision of a shard's scheduler on one request, sent to the router that asked for the slot. */
public sealed interface Decision {
  /** Returns the request that the decision is on. */
  RequestId request();

  /**
   * Leases one slot of one backend server to a request.
   *
   * @param request the request
   * @param lease the lease's number, unique within one scheduler's term
   * @param server the backend server
   * @param startWithinMillis time in milliseconds within which the request must start, counted on
   *     the router's monotonic clock from the receipt of the grant; the lease expires otherwise
   */
  record Grant(RequestId request, long lease, ServerId server, long startWithinMillis)
      implements Decision {}

  /**
   * Refuses a slot request; nothing was run for it.
   *
   * @param request the request
   * @param reason the reason
   * @param retryAfterMillis time in milliseconds after which a retry may succeed
   */
  record Refusal(RequestId request, RefusalReason reason, long retryAfterMillis)
      implements Decision {}

  /**
   * Asks the router to cancel a running resumable stream of a lower tier and to queue the remainder
   * of the stream again.
   *
   * @param request the running request
   * @param lease its lease
   */
  record Preemption(RequestId request, long lease) implements Decision {}
}
