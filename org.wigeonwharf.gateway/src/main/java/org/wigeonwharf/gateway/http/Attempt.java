package org.wigeonwharf.gateway.http;

/** Represents one attempt to have a backend server execute a request. */
public interface Attempt {
  /** Cancels the attempt and closes its connection. The listener is not called afterwards. */
  void cancel();

  /**
   * Pauses or resumes reading the response.
   *
   * @param paused true while the caller reads more slowly than the server sends
   */
  void setPaused(boolean paused);
}
