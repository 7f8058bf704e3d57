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
 * Watches the platform's configuration service on a thread of its own.
 *
 * <p>No other thread ever waits for the service. Reads keep a minimum interval even if the service
 * answers at once, and failed reads are retried with exponential backoff.
 */
public final class PlatformReader implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformReader.class);
  // Well below ReadPolicy.CONTACT_TIMEOUT_NANOS: a pending watch does not count as contact.
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
   * Creates a reader; it reads nothing until started.
   *
   * @param source the configuration service
   * @param store holds the revision in force and the newest rejected one
   * @param contact records each answer
   * @param shouldRead returns whether to watch now; called on the reader's thread
   * @param onPublication receives each publication; called on the reader's thread
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
   * Returns whether this process currently watches the configuration service.
   *
   * @return true if it watches
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
          .log("can't read the configuration service; retrying after a delay");
      return backoff.recordFailure();
    }
  }

  /**
   * Returns the revision after which the next publication is requested.
   *
   * <p>This is the revision in force, or the newest rejected one so that it is not sent again. Once
   * in {@link #READS_PER_VERIFICATION} reads it is one below the revision in force, so that the
   * platform sends that one again and its content can be compared.
   */
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
