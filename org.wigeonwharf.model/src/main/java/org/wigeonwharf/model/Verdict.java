package org.wigeonwharf.model;

/**
 * States whether a request may have had an effect on a backend server.
 *
 * <p>Every attempt, refusal and answer carries one. A verdict changes only towards certainty about
 * effects: once an attempt is {@link #MAY_HAVE_RUN}, only a statement by the backend server itself
 * changes it back to {@link #NOT_RUN}.
 */
public enum Verdict {
  /** No byte of the request reached a backend server, or the server stated it did not start. */
  NOT_RUN("not-run"),
  /** The request was passed to a connection and its outcome is unknown. */
  MAY_HAVE_RUN("may-have-run"),
  /** The backend server answered the request. */
  RAN("ran");

  private final String wireName;

  Verdict(String wireName) {
    this.wireName = wireName;
  }

  /**
   * Returns the name used in headers, problem bodies and logs.
   *
   * @return a lower-case word with hyphens
   */
  public String wireName() {
    return wireName;
  }
}
