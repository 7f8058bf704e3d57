package org.wigeonwharf.schedule;

import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;

/** A Decision is what a shard's scheduler tells the router of one request. */
public sealed interface Decision {
  /** Returns the request decided on. */
  RequestId request();

  /**
   * A Grant leases one slot of one backend server.
   *
   * @param request the request
   * @param lease the lease's number, unique within one scheduler's term
   * @param server the backend server
   * @param startWithinMillis the lease is void unless the request starts within this time of its
   *     receipt, on the router's monotonic clock
   */
  record Grant(RequestId request, long lease, ServerId server, long startWithinMillis)
      implements Decision {}

  /**
   * A Refusal ends a request that was not run.
   *
   * @param request the request
   * @param reason why
   * @param retryAfterMillis when another try may succeed
   */
  record Refusal(RequestId request, RefusalReason reason, long retryAfterMillis)
      implements Decision {}

  /**
   * A Preemption asks the router to cancel a running resumable stream of a lower tier and to queue
   * its rest.
   *
   * @param request the running request
   * @param lease its lease
   */
  record Preemption(RequestId request, long lease) implements Decision {}
}
