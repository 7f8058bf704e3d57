package org.wigeonwharf.gateway.http;

import org.wigeonwharf.model.Clock;

/** Schedules actions on the thread that handles all requests. */
public interface Timers extends Clock {
  /** Represents one scheduled action. */
  interface Timer {
    /** Cancels the action if it has not run. */
    void cancel();
  }

  /**
   * Runs an action once.
   *
   * @param delayNanos the delay in nanoseconds; 0 or less runs it as soon as possible
   * @param action the action
   * @return the timer
   */
  Timer schedule(long delayNanos, Runnable action);
}
