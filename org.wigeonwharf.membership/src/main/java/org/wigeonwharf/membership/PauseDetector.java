package org.wigeonwharf.membership;

import org.wigeonwharf.model.Clock;

/**
 * Detects that the process was paused, from the gap between two periodic checks.
 *
 * <p>After a pause, the process's state about its peers and every queued message may be stale.
 * Checks must be more frequent than the threshold. Not thread-safe.
 */
public final class PauseDetector {
  /**
   * Maximum gap between two checks that is not a pause. Shorter than {@link
   * LivenessTracker#SUSPECT_AFTER_NANOS}, so that a pause is detected before it makes live peers
   * suspected.
   */
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
   * Checks whether the process was paused since the previous check.
   *
   * @param nowNanos the current monotonic time
   * @return true if the gap since the previous check exceeds the threshold
   */
  public boolean check(long nowNanos) {
    boolean paused = nowNanos - lastNanos > THRESHOLD_NANOS;
    lastNanos = nowNanos;
    return paused;
  }
}
