package org.wigeonwharf.gateway.http;

/** A RequestOutcome says how a request ended for its caller. */
public enum RequestOutcome {
  /** The caller got a backend server's answer. */
  ANSWERED("answered"),
  /** The router refused it; it has not run and never will. */
  REFUSED("refused"),
  /** The router answered that it failed; it may have run. */
  FAILED("failed"),
  /** The answer was cut after it had begun. */
  CUT("cut"),
  /** The router has no route for it, or the caller has no right to it. */
  DENIED("denied"),
  /** The caller left before its answer. */
  CALLER_GONE("caller-gone");

  private final String label;

  RequestOutcome(String label) {
    this.label = label;
  }

  /** Returns the spelling used in logs and metrics. */
  public String label() {
    return label;
  }
}
