package org.wigeonwharf.config;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Lifecycle;

/** A ConfigService keeps the store up to date with the platform and with peers. */
public final class ConfigService implements Lifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigService.class);
  private static final Duration WATCH = Duration.ofSeconds(10);
  private static final Duration BACKOFF = Duration.ofMillis(500);

  private final ConfigStore store;
  private final ConfigSource source;
  private final Clock clock;
  private volatile long lastContactNanos;
  private volatile boolean contacted;
  private @Nullable Thread reader;

  /**
   * Creates a service that is not yet reading.
   *
   * @param store receives what is read
   * @param source the platform
   * @param clock the process's clock
   */
  public ConfigService(ConfigStore store, ConfigSource source, Clock clock) {
    this.store = store;
    this.source = source;
    this.clock = clock;
  }

  @Override
  public void start() {
    Thread t = new Thread(this::readLoop, "config-reader");
    t.setDaemon(true);
    reader = t;
    t.start();
  }

  @Override
  public void stop() {
    Thread t = reader;
    if (t != null) {
      t.interrupt();
      reader = null;
    }
  }

  /**
   * Returns how long ago the platform last answered this process.
   *
   * @return milliseconds, or -1 if it never did
   */
  public long platformContactAgeMillis() {
    return contacted ? (clock.nanos() - lastContactNanos) / Clock.NANOS_PER_MILLI : -1;
  }

  private void readLoop() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        readOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readOnce() throws InterruptedException {
    try {
      Optional<ConfigSource.Publish> publish = source.watch(store.current().revision(), WATCH);
      lastContactNanos = clock.nanos();
      contacted = true;
      publish.ifPresent(p -> offer(p.revision(), p.files(), "platform"));
    } catch (IOException e) {
      LOG.atWarn()
          .addKeyValue("event", "platform.unreachable")
          .addKeyValue("reason", e.getMessage())
          .log("configuration service can't be read");
      Thread.sleep(BACKOFF.toMillis());
    }
  }

  private void offer(long revision, List<SettingsFile> files, String origin) {
    ConfigStore.Offer result = store.offer(revision, files);
    LOG.atInfo()
        .addKeyValue("event", "config." + result.name().toLowerCase(Locale.ROOT))
        .addKeyValue("revision", revision)
        .addKeyValue("origin", origin)
        .log("configuration offered");
    ConfigStore.Rejection r = store.rejection();
    if (result == ConfigStore.Offer.INVALID && r != null) {
      r.faults()
          .forEach(
              f ->
                  LOG.atError()
                      .addKeyValue("event", "config.fault")
                      .addKeyValue("revision", revision)
                      .addKeyValue("fault", f.toString())
                      .log("publish refused"));
    }
  }
}
