package org.wigeonwharf.gateway.http;

/** Tells how a request ended for its caller. */
public enum RequestOutcome {
  /** The caller received a backend server's response. */
  ANSWERED("answered"),
  /** The router refused the request, which did not run and will not run. */
  REFUSED("refused"),
  /** The router responded with an error; the request may have run. */
  FAILED("failed"),
  /** The response was aborted after it had begun. */
  CUT("cut"),
  /** No route matches the request, or the caller is not authenticated. */
  DENIED("denied"),
  /** The caller closed its connection before the response was complete. */
  CALLER_GONE("caller-gone");

  private final String label;

  RequestOutcome(String label) {
    this.label = label;
  }

  /** Returns the name used in logs and metrics. */
  public String label() {
    return label;
  }
}
