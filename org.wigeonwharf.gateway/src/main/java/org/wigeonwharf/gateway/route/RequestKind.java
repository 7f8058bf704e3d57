package org.wigeonwharf.gateway.route;

/** A RequestKind says what a router may do again with a request of a route. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT(true, false),
  /** May run at most once. */
  UNREPEATABLE(false, false),
  /** A stream of events that may run at most once. */
  STREAM(false, true),
  /** A stream of events that another server may continue after the last event delivered. */
  RESUMABLE_STREAM(true, true);

  /** How a kind is treated that this router does not know: a second run might double effects. */
  public static final RequestKind STRICTEST = UNREPEATABLE;

  private final boolean repeatable;
  private final boolean stream;

  RequestKind(boolean repeatable, boolean stream) {
    this.repeatable = repeatable;
    this.stream = stream;
  }

  /**
   * Tells whether a request that may have run may be sent again.
   *
   * @return true if a second run does no harm
   */
  public boolean isRepeatable() {
    return repeatable;
  }

  /**
   * Tells whether the answer is a stream of events.
   *
   * @return true for event streams
   */
  public boolean isStream() {
    return stream;
  }
}
