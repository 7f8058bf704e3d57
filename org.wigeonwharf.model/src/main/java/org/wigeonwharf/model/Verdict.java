package org.wigeonwharf.model;

/**
 * The Verdict says whether a request may have had an effect on a backend server.
 *
 * <p>Every attempt, refusal and answer carries one. A verdict only ever moves towards certainty
 * about effects: once an attempt {@link #MAY_HAVE_RUN}, nothing but the backend server's own word
 * makes it {@link #NOT_RUN} again.
 */
public enum Verdict {
  /** No byte of the request reached a backend server, or the server stated it did not start. */
  NOT_RUN("not-run"),
  /** The request was handed to a connection and its end is unknown. */
  MAY_HAVE_RUN("may-have-run"),
  /** The backend server answered the request. */
  RAN("ran");

  private final String wireName;

  Verdict(String wireName) {
    this.wireName = wireName;
  }

  /**
   * Returns the spelling used in headers, problem bodies and logs.
   *
   * @return a lower-case word with hyphens
   */
  public String wireName() {
    return wireName;
  }
}
