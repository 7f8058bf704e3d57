package org.wigeonwharf.gateway.http;

/** An Attempt is one send of a request to a backend server. */
public interface Attempt {
  /** Gives the attempt up and closes its connection; the listener hears nothing more. */
  void cancel();

  /**
   * Stops or resumes reading the answer.
   *
   * @param paused true while the caller does not keep up
   */
  void setPaused(boolean paused);
}
