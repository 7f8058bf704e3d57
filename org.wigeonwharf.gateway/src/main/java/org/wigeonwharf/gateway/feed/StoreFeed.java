package org.wigeonwharf.gateway.feed;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.http.Timers;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.Clock;

/**
 * Keeps the route table and the server directory up to date with the platform's store.
 *
 * <p>Reads all items once and then waits for changes. After lost history or an outage it reads all
 * items again. While the store is unreachable the last known state stays in use. A lower version of
 * the routes never replaces a higher one. All work runs on the thread that runs the timers.
 */
public final class StoreFeed {
  /**
   * Maximum time that the store may hold a call. A dead connection is detected only after this
   * time, but shorter waits cost more calls.
   */
  private static final Duration WATCH_WAIT = Duration.ofMillis(3_000);

  /** Maximum wait for an answer, in addition to the time that the store may hold the call. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_000);

  /**
   * Initial delay before a failed call is retried. It doubles up to {@link #MAX_RETRY_DELAY}, since
   * even calls that the store refuses add to its load.
   */
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);

  /** Maximum delay before a failed call is retried. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

  /**
   * Minimum time between two reads caused by a peer's newer version. It gives a change time to
   * reach all clients that wait for changes.
   */
  private static final Duration NEWER_VERSION_READ_MIN_INTERVAL = Duration.ofMillis(500);

  private static final Logger LOG = LoggerFactory.getLogger(StoreFeed.class);

  private final PublishedStore store;
  private final ServerDirectory directory;
  private final Timers timers;
  private final RandomGenerator random;
  private final Runnable onChange;
  private final MetricRegistry metrics;
  private @Nullable RouteTable routes;
  private long revision = -1;
  private boolean reachable = true;
  private Duration retryDelay = MIN_RETRY_DELAY;
  private long lastContactAt;
  private long lastNewerVersionReadAt;
  private boolean stopped;

  /**
   * Creates a feed that is not started.
   *
   * @param store the platform's store
   * @param directory the server directory to keep up to date
   * @param timers runs all work
   * @param random adds jitter to retry delays
   * @param onChange called after each change of routes or servers
   * @param metrics receives the number of calls by outcome
   */
  public StoreFeed(
      PublishedStore store,
      ServerDirectory directory,
      Timers timers,
      RandomGenerator random,
      Runnable onChange,
      MetricRegistry metrics) {
    this.store = store;
    this.directory = directory;
    this.timers = timers;
    this.random = random;
    this.onChange = onChange;
    this.metrics = metrics;
    this.lastContactAt = timers.nanos();
    this.lastNewerVersionReadAt = lastContactAt;
  }

  /** Starts to read; called on the thread of the timers. */
  public void start() {
    readAll();
  }

  /** Stops reading; called on the thread of the timers. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns the active routes.
   *
   * @return the newest version read, or null before the first read
   */
  public @Nullable RouteTable routes() {
    return routes;
  }

  /** Tells whether the store has been read completely and routes are known. */
  public boolean isInitialized() {
    return routes != null && revision >= 0;
  }

  /** Returns the time in ms since the store last answered. */
  public long contactAgeMillis() {
    return (timers.nanos() - lastContactAt) / Clock.NANOS_PER_MILLI;
  }

  /**
   * Reads all items immediately because a peer has a newer version: the pending wait for changes
   * may be on a dead connection. Called on the thread of the timers.
   *
   * @param version the peer's version
   */
  public void onNewerVersion(long version) {
    long now = timers.nanos();
    if (!reachable || now - lastNewerVersionReadAt < NEWER_VERSION_READ_MIN_INTERVAL.toNanos()) {
      return;
    }
    lastNewerVersionReadAt = now;
    LOG.atInfo()
        .addKeyValue("event", "config.behind")
        .addKeyValue("version", version)
        .addKeyValue("own", routes == null ? 0 : routes.version())
        .log("another router has a newer configuration");
    store.readAll(ANSWER_TIMEOUT).whenComplete(onTimerThread(this::onNewerVersionRead));
  }

  private void onNewerVersionRead(@Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null || stopped) {
      LOG.atWarn()
          .addKeyValue("event", "store.read_failed")
          .addKeyValue("reason", String.valueOf(cause(error)))
          .log("reading the newer configuration failed");
      return;
    }
    // Changes received in the meantime may be newer than this read.
    if (batch.revision() >= revision) {
      applyAll(batch);
    }
  }

  private void readAll() {
    if (!stopped) {
      store.readAll(ANSWER_TIMEOUT).whenComplete(onTimerThread(this::onReadAll));
    }
  }

  private void onReadAll(@Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null) {
      retryLater(error, this::readAll);
      return;
    }
    applyAll(batch);
    watch();
  }

  private void applyAll(Batch batch) {
    long now = recordContact();
    List<BackendServer> servers = new ArrayList<>();
    for (PublishedItem item : batch.items()) {
      if (item instanceof PublishedItem.Server s) {
        servers.add(s.server());
      } else {
        apply(item, now);
      }
    }
    directory.replaceAll(servers, now);
    revision = Math.max(revision, batch.revision());
    onChange.run();
  }

  private void watch() {
    if (!stopped) {
      store
          .awaitChanges(revision, WATCH_WAIT, WATCH_WAIT.plus(ANSWER_TIMEOUT))
          .whenComplete(onTimerThread(this::onChanges));
    }
  }

  private void onChanges(@Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null) {
      if (cause(error) instanceof HistoryLostException) {
        LOG.atInfo()
            .addKeyValue("event", "store.history_lost")
            .addKeyValue("revision", revision)
            .log("the store has discarded the changes; reading all items again");
        readAll();
      } else {
        retryLater(error, this::readAll);
      }
      return;
    }
    long now = recordContact();
    // Only a successful watch resets the delay: a store that answers full reads may still
    // refuse watches.
    retryDelay = MIN_RETRY_DELAY;
    batch.items().forEach(p -> apply(p, now));
    revision = Math.max(revision, batch.revision());
    if (!batch.items().isEmpty()) {
      onChange.run();
    }
    watch();
  }

  private long recordContact() {
    long now = timers.nanos();
    if (!reachable) {
      reachable = true;
      directory.recordStoreReconnected(now);
      LOG.atInfo()
          .addKeyValue("event", "store.regained")
          .addKeyValue("away_ms", contactAgeMillis())
          .log("the store is reachable again");
    }
    lastContactAt = now;
    return now;
  }

  private void retryLater(@Nullable Throwable error, Runnable action) {
    if (reachable) {
      reachable = false;
      LOG.atWarn()
          .addKeyValue("event", "store.lost")
          .addKeyValue("reason", String.valueOf(cause(error)))
          .addKeyValue("revision", revision)
          .log("the store is unreachable");
    }
    long delayMillis = (long) (retryDelay.toMillis() * (0.5 + random.nextDouble()));
    retryDelay =
        retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
            ? MAX_RETRY_DELAY
            : retryDelay.multipliedBy(2);
    timers.schedule(delayMillis * Clock.NANOS_PER_MILLI, action);
  }

  private BiConsumer<@Nullable Batch, @Nullable Throwable> onTimerThread(
      BiConsumer<@Nullable Batch, @Nullable Throwable> action) {
    return (batch, error) ->
        timers.schedule(
            0,
            () -> {
              countCall(batch, error);
              action.accept(batch, error);
            });
  }

  private void countCall(@Nullable Batch batch, @Nullable Throwable error) {
    String outcome = "failed";
    if (batch != null) {
      outcome = "answered";
    } else if (cause(error) instanceof HistoryLostException) {
      outcome = "history_lost";
    }
    metrics.counter("store.calls{outcome=\"" + outcome + "\"}").inc();
  }

  private static @Nullable Throwable cause(@Nullable Throwable error) {
    return error instanceof CompletionException && error.getCause() != null
        ? error.getCause()
        : error;
  }

  private void apply(PublishedItem item, long now) {
    if (item instanceof PublishedItem.Routes r) {
      activate(r.table());
    } else if (item instanceof PublishedItem.Server s) {
      directory.put(s.server());
    } else if (item instanceof PublishedItem.ServerRemoved g) {
      directory.withdraw(g.id(), now);
    } else if (item instanceof PublishedItem.Unusable u) {
      LOG.atWarn()
          .addKeyValue("event", "store.item_unusable")
          .addKeyValue("key", u.key())
          .addKeyValue("reason", u.reason())
          .log("invalid item ignored");
    }
  }

  private void activate(RouteTable table) {
    RouteTable previous = routes;
    if (previous != null && previous.version() >= table.version()) {
      return;
    }
    routes = table;
    LOG.atInfo()
        .addKeyValue("event", "config.adopted")
        .addKeyValue("version", table.version())
        .addKeyValue("previous", previous == null ? 0 : previous.version())
        .addKeyValue("routes", table.size())
        .log("configuration activated");
  }
}
