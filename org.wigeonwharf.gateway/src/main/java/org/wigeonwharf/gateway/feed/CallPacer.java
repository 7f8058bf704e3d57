package org.wigeonwharf.gateway.feed;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * Decides how soon the store may be called again, so that no sequence of answers leads to calls
 * without a pause.
 *
 * <p>Delays double from one call to the next, since even calls that the store refuses add to its
 * load, until a wait for changes has lasted or has brought some. A complete read is no such
 * success: a store that answers it may still refuse the wait that follows. Whatever leads to them,
 * at most {@link #MAX_BURST} calls are made at once, and one in each {@link #MIN_INTERVAL} later.
 */
final class CallPacer {
  /** Minimum mean time between two calls. */
  static final Duration MIN_INTERVAL = Duration.ofMillis(250);

  /** Maximum number of calls that may be made without that time between them. */
  static final int MAX_BURST = 4;

  private static final Duration MIN_DELAY = Duration.ofMillis(100);

  /** Maximum delay before a frequent reader calls again. */
  private static final Duration FREQUENT_MAX_DELAY = Duration.ofMillis(800);

  /** The same for other routers. */
  private static final Duration MAX_DELAY = Duration.ofMillis(2_400);

  private final BooleanSupplier frequentReader;
  private final RandomGenerator random;
  private Duration delay = MIN_DELAY;
  private boolean repeated;
  private boolean called;
  private long burstEndsAt;

  /**
   * Creates a pacer.
   *
   * @param frequentReader tells whether this router renews its calls often
   * @param random adds jitter to the delays
   */
  CallPacer(BooleanSupplier frequentReader, RandomGenerator random) {
    this.frequentReader = frequentReader;
    this.random = random;
  }

  /** Records that a wait for changes has lasted or has brought some, or that none was needed. */
  void recordSuccess() {
    delay = MIN_DELAY;
    repeated = false;
  }

  /** Returns the delay in nanoseconds before a failed call is made again. */
  long retryDelayNanos() {
    long nanos = (long) (delay.toNanos() * (0.5 + random.nextDouble()));
    Duration max = frequentReader.getAsBoolean() ? FREQUENT_MAX_DELAY : MAX_DELAY;
    Duration doubled = delay.multipliedBy(2);
    delay = doubled.compareTo(max) > 0 ? max : doubled;
    return nanos;
  }

  /**
   * Returns the delay in nanoseconds before the call that a complete answer makes necessary. The
   * first such call is made at once.
   */
  long nextDelayNanos() {
    if (repeated) {
      return retryDelayNanos();
    }
    repeated = true;
    return 0;
  }

  /**
   * Returns how long the next call has to wait for earlier ones.
   *
   * @param now the current time in nanoseconds
   * @return the time in nanoseconds; 0 if it may be made now
   */
  long waitNanos(long now) {
    long intervals = MAX_BURST * MIN_INTERVAL.toNanos();
    return called ? Math.max(0, burstEndsAt + MIN_INTERVAL.toNanos() - intervals - now) : 0;
  }

  /**
   * Records that a call is made.
   *
   * @param now the current time in nanoseconds
   */
  void recordCall(long now) {
    long from = called && burstEndsAt - now > 0 ? burstEndsAt : now;
    burstEndsAt = from + MIN_INTERVAL.toNanos();
    called = true;
  }
}
