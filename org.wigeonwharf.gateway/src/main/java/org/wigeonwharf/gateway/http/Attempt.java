package org.wigeonwharf.gateway.http;

/** Represents one send of a request to a backend server. */
public interface Attempt {
  /** Cancels the attempt and closes its connection. The listener is not called any more. */
  void cancel();

  /**
   * Pauses or resumes reading the response.
   *
   * @param paused true while the caller reads more slowly than the server sends
   */
  void setPaused(boolean paused);
}
