package org.wigeonwharf.config.internal;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.ConfigSource;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.PlatformContact;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;

/**
 * A PlatformReader is the thread that watches the configuration service while it is told to.
 *
 * <p>Nothing but this thread ever waits for the service. Reads are spaced when the service answers
 * too soon, and back off when it fails.
 */
public final class PlatformReader implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformReader.class);
  // Short against ReadPolicy.SILENCE_NANOS: a waiting watch is no contact.
  private static final Duration MAX_WAIT = Duration.ofMillis(1_000);
  private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(200);
  private static final long IDLE_POLL_MILLIS = 100;
  private static final long FIRST_DELAY_MILLIS = 500;
  private static final long MAX_DELAY_MILLIS = 4_000;
  private static final int READS_PER_VERIFICATION = 30;

  private final ConfigSource source;
  private final ConfigStore store;
  private final PlatformContact contact;
  private final BooleanSupplier shouldRead;
  private final Consumer<ConfigSource.Publication> onPublication;
  private final Clock clock;
  private final Backoff backoff;
  private volatile boolean reading;
  private int reads;
  private @Nullable Thread thread;

  /**
   * Creates a reader that is not yet running.
   *
   * @param source the configuration service
   * @param store tells which revision is held or refused
   * @param contact notes each answer
   * @param shouldRead tells whether to watch; called on the reader's thread
   * @param onPublication takes each publish; called on the reader's thread
   * @param clock the process's clock
   * @param random draws jitter
   */
  public PlatformReader(
      ConfigSource source,
      ConfigStore store,
      PlatformContact contact,
      BooleanSupplier shouldRead,
      Consumer<ConfigSource.Publication> onPublication,
      Clock clock,
      Random random) {
    this.source = source;
    this.store = store;
    this.contact = contact;
    this.shouldRead = shouldRead;
    this.onPublication = onPublication;
    this.clock = clock;
    this.backoff = new Backoff(FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, random);
  }

  @Override
  public void start() {
    Thread t = new Thread(this::run, "config-reader");
    t.setDaemon(true);
    thread = t;
    t.start();
  }

  @Override
  public void stop() {
    Thread t = thread;
    if (t != null) {
      t.interrupt();
      thread = null;
    }
  }

  /**
   * Tells whether this process watches the configuration service at present.
   *
   * @return true if it does
   */
  public boolean isReading() {
    return reading;
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        reading = shouldRead.getAsBoolean();
        Thread.sleep(reading ? readOnce() : IDLE_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads once and returns the delay before the next read, in milliseconds. */
  private long readOnce() throws InterruptedException {
    long startNanos = clock.nanos();
    try {
      Optional<ConfigSource.Publication> publication =
          source.watch(revisionToWatchFrom(), MAX_WAIT);
      contact.recordAnswer();
      backoff.recordSuccess();
      publication.ifPresent(onPublication);
      long elapsedMillis = (clock.nanos() - startNanos) / Clock.NANOS_PER_MILLI;
      return Math.max(0, MIN_READ_INTERVAL.toMillis() - elapsedMillis);
    } catch (IOException e) {
      LOG.atWarn()
          .addKeyValue("event", "platform.unreachable")
          .addKeyValue("reason", e.getMessage())
          .log("configuration service can't be read");
      return backoff.recordFailure();
    }
  }

  /** Returns the revision to watch from: now and then one lower, to compare what is held. */
  private long revisionToWatchFrom() {
    reads++;
    long held = store.current().revision();
    if (reads % READS_PER_VERIFICATION == 0) {
      return Math.max(0, held - 1);
    }
    ConfigStore.Rejection rejection = store.rejection();
    return rejection == null ? held : rejection.revision();
  }
}
