package org.wigeonwharf.schedule;

/** A LeaseEnd says how the use of a lease ended. */
public enum LeaseEnd {
  /** The whole answer came. */
  FINISHED,
  /** The backend server failed, or cut the answer short. */
  FAILED,
  /** The backend server said that it did not start. */
  NOT_STARTED,
  /** The caller left, or the request was preempted. */
  CANCELLED,
  /** The lease was not used. */
  RETURNED
}
