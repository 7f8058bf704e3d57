package org.wigeonwharf.model;

/** Reason why a request was refused without being run. */
public enum RefusalReason {
  /** All capacity is in use and the waiting queue is full. */
  CAPACITY("capacity", 503),
  /** The predicted wait exceeds the request's deadline. */
  DEADLINE("deadline", 503),
  /** The client account exceeds one of its limits. */
  ACCOUNT_LIMIT("account-limit", 429),
  /** No scheduler could be reached. */
  NO_SCHEDULER("no-scheduler", 503),
  /** The service has no live backend server known to this process. */
  NO_SERVER("no-server", 503),
  /** The process is stopping. */
  STOPPING("stopping", 503),
  /** The configuration has no such service or service class. */
  UNKNOWN("unknown", 404);

  private final String wireName;
  private final int status;

  RefusalReason(String wireName, int status) {
    this.wireName = wireName;
    this.status = status;
  }

  /**
   * Returns the name used in problem bodies, messages and logs.
   *
   * @return a lower-case word with hyphens
   */
  public String wireName() {
    return wireName;
  }

  /**
   * Returns the HTTP status of a request refused for this reason.
   *
   * @return a status from 400 to 599
   */
  public int status() {
    return status;
  }
}
