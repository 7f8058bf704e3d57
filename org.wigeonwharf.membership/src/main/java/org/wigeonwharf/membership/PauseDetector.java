package org.wigeonwharf.membership;

import org.wigeonwharf.model.Clock;

/**
 * A PauseDetector tells when a process that checks often has not run for a while.
 *
 * <p>After such a pause everything the process believes of its peers, and every message it finds
 * waiting, may be old. Checks must be more frequent than the threshold. Not thread-safe.
 */
public final class PauseDetector {
  /** Longest gap between two checks that is not a pause; shorter than the suspicion of peers. */
  public static final long THRESHOLD_NANOS = Clock.NANOS_PER_SECOND;

  private long lastNanos;

  /**
   * Creates a detector.
   *
   * @param nowNanos the current monotonic time
   */
  public PauseDetector(long nowNanos) {
    this.lastNanos = nowNanos;
  }

  /**
   * Notes that the process runs.
   *
   * @param nowNanos the current monotonic time
   * @return true if it has not run for longer than the threshold
   */
  public boolean check(long nowNanos) {
    boolean paused = nowNanos - lastNanos > THRESHOLD_NANOS;
    lastNanos = nowNanos;
    return paused;
  }
}
