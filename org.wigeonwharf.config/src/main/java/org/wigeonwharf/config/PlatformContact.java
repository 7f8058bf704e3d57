package org.wigeonwharf.config;

import org.wigeonwharf.model.Clock;

/** Records when the platform's configuration service last answered this process. */
public final class PlatformContact {
  private static final long NEVER = -1;

  private final Clock clock;
  private volatile long lastAnswerNanos;
  private volatile boolean contacted;

  /**
   * Creates a record with no answer yet.
   *
   * @param clock the process's clock
   */
  public PlatformContact(Clock clock) {
    this.clock = clock;
  }

  /** Records that the configuration service answered just now. */
  public void recordAnswer() {
    lastAnswerNanos = clock.nanos();
    contacted = true;
  }

  /**
   * Returns the time since the configuration service last answered this process.
   *
   * @return milliseconds, or -1 if it never did
   */
  public long ageMillis() {
    return contacted ? (clock.nanos() - lastAnswerNanos) / Clock.NANOS_PER_MILLI : NEVER;
  }
}
