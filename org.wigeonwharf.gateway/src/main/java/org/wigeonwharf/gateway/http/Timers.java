package org.wigeonwharf.gateway.http;

import org.wigeonwharf.model.Clock;

/** Timers run actions later, on the thread that all requests are handled on. */
public interface Timers extends Clock {
  /** A Timer is one action that waits for its time. */
  interface Timer {
    /** Drops the action if it has not run. */
    void cancel();
  }

  /**
   * Runs an action once.
   *
   * @param delayNanos how long to wait; 0 or less runs it as soon as possible
   * @param action the action
   * @return the timer
   */
  Timer schedule(long delayNanos, Runnable action);
}
