package org.wigeonwharf.gateway.stream;

/** Tells whether this router knows all servers that were published until some moment. */
public interface ServerListCheck {
  /**
   * Tells whether all servers are known that were published until a time.
   *
   * @param time the time in nanoseconds
   */
  boolean isCompleteUntil(long time);

  /**
   * Asks for {@link #isCompleteUntil} to be found out. Held requests are tried again when it is.
   *
   * @param time the time in nanoseconds, not after now
   */
  void request(long time);
}
