package org.wigeonwharf.gateway.route;

/** Tells whether a router may repeat or resume the requests of a route. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT(true, false),
  /** May run at most once. */
  UNREPEATABLE(false, false),
  /** A stream of events that may run at most once. */
  STREAM(false, true),
  /** A stream of events that another server may resume after the last event delivered. */
  RESUMABLE_STREAM(true, true);

  /**
   * The kind assumed for values that this router does not know, since a second run of such requests
   * might repeat side effects.
   */
  public static final RequestKind STRICTEST = UNREPEATABLE;

  private final boolean repeatable;
  private final boolean stream;

  RequestKind(boolean repeatable, boolean stream) {
    this.repeatable = repeatable;
    this.stream = stream;
  }

  /**
   * Tells whether a request that may already have run may be sent again.
   *
   * @return true if a second run is safe
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
