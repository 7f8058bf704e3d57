package org.wigeonwharf.model;

/** A Clock gives monotonic time; decisions never read any other time. */
@FunctionalInterface
public interface Clock {
  /** Nanoseconds in a millisecond. */
  long NANOS_PER_MILLI = 1_000_000L;

  /** Nanoseconds in a second. */
  long NANOS_PER_SECOND = 1_000_000_000L;

  /**
   * Returns the current time.
   *
   * @return nanoseconds from an arbitrary origin that is fixed while the process lives
   */
  long nanos();

  /**
   * Returns the process's monotonic clock.
   *
   * @return a clock backed by the JVM's nano time
   */
  static Clock system() {
    return System::nanoTime;
  }
}
