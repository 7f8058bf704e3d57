package org.wigeonwharf.model;

/** Monotonic time source; the only time that decisions depend on. */
@FunctionalInterface
public interface Clock {
  /** Nanoseconds in a millisecond. */
  long NANOS_PER_MILLI = 1_000_000L;

  /** Nanoseconds in a second. */
  long NANOS_PER_SECOND = 1_000_000_000L;

  /**
   * Returns the current time.
   *
   * @return nanoseconds since an arbitrary origin that is fixed for the lifetime of the process
   */
  long nanos();

  /**
   * Returns the process's monotonic clock.
   *
   * @return a clock backed by {@link System#nanoTime}
   */
  static Clock system() {
    return System::nanoTime;
  }
}
