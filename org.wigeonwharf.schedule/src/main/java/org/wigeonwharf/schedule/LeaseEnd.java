package org.wigeonwharf.schedule;

/** How the use of a lease ended. */
public enum LeaseEnd {
  /** The answer was received completely. */
  FINISHED,
  /** The backend server failed, or the answer ended early. */
  FAILED,
  /** The backend server reported that it did not start the request. */
  NOT_STARTED,
  /** The caller disconnected, or the request was preempted. */
  CANCELLED,
  /** The lease was returned unused. */
  RETURNED
}
