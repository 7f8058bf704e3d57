package org.wigeonwharf.router.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Lifecycle;
import sun.misc.Signal;

/**
 * Detects changes of the settings file's content, on the hang-up signal (SIGHUP) and by polling.
 */
public final class SettingsWatcher implements Lifecycle {
  /** Interval in ms between two polls; a signal applies urgent changes sooner. */
  private static final long POLL_INTERVAL_MILLIS = 2_000;

  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatcher.class);

  private final Path file;
  private final Consumer<Path> onChange;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "settings"));
  private String content;

  /**
   * Creates a watcher that is not started.
   *
   * @param file the settings file
   * @param onChange called with the file when its content has changed
   */
  public SettingsWatcher(Path file, Consumer<Path> onChange) {
    this.file = file;
    this.onChange = onChange;
    this.content = read();
  }

  @Override
  public void start() {
    Signal.handle(new Signal("HUP"), s -> executor.execute(this::onHangUpSignal));
    executor.scheduleWithFixedDelay(
        this::reloadIfChanged, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onHangUpSignal() {
    LOG.atInfo()
        .addKeyValue("event", "settings.signal")
        .log("SIGHUP received; checking the settings file for changes");
    reloadIfChanged();
  }

  private void reloadIfChanged() {
    String newContent = read();
    if (newContent.isEmpty() || newContent.equals(content)) {
      return;
    }
    content = newContent;
    onChange.accept(file);
  }

  private String read() {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      LOG.atWarn()
          .addKeyValue("event", "settings.unreadable")
          .addKeyValue("reason", String.valueOf(e.getMessage()))
          .log("settings file is unreadable; keeping the current settings");
      return "";
    }
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }
}
