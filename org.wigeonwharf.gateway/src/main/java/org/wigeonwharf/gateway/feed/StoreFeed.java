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
 * A StoreFeed keeps the route table and the server directory up to date with the platform's store.
 *
 * <p>It reads everything once and then waits for changes; after lost history or an outage it reads
 * everything anew. What was known stays in force while the store is away, and a lower version of
 * the routes never replaces a higher one. All work runs on the thread of the timers.
 */
public final class StoreFeed {
  /**
   * How long the store may hold a call. A connection that went silent is noticed after this;
   * shorter waits cost more calls.
   */
  private static final Duration WATCH_WAIT = Duration.ofMillis(3_000);

  /** Longest wait for an answer beyond the time that the store may hold the call. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_000);

  /** First and longest pause between failed calls; refused calls count at the store as well. */
  private static final Duration MIN_PAUSE = Duration.ofMillis(100);

  private static final Duration MAX_PAUSE = Duration.ofMillis(800);

  /**
   * Least time between reads because of another router's word: as long as a change takes to reach
   * everyone that waits for changes.
   */
  private static final Duration HINT_PAUSE = Duration.ofMillis(500);

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
  private Duration pause = MIN_PAUSE;
  private long contactAt;
  private long hintAt;
  private boolean stopped;

  /**
   * Creates a feed that does nothing yet.
   *
   * @param store the platform's store
   * @param directory the servers to keep up to date
   * @param timers run all work
   * @param random spreads retries
   * @param onChange called after each change of routes or servers
   * @param metrics counts calls by their outcome
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
    this.contactAt = timers.nanos();
    this.hintAt = contactAt;
  }

  /** Begins to read; called on the thread of the timers. */
  public void start() {
    readAll();
  }

  /** Stops reading; called on the thread of the timers. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns the routes in force.
   *
   * @return the newest version read, or null before the first
   */
  public @Nullable RouteTable routes() {
    return routes;
  }

  /** Tells whether the routes and servers were read at least once. */
  public boolean isSettled() {
    return routes != null && revision >= 0;
  }

  /** Returns the time in ms since the store last answered. */
  public long contactAgeMillis() {
    return (timers.nanos() - contactAt) / Clock.NANOS_PER_MILLI;
  }

  /**
   * Reads everything at once because another router knows of a newer version; called on the thread
   * of the timers. The wait for changes may be on a connection that went silent.
   *
   * @param version the version that the other router has
   */
  public void newerVersion(long version) {
    long now = timers.nanos();
    if (!reachable || now - hintAt < HINT_PAUSE.toNanos()) {
      return;
    }
    hintAt = now;
    LOG.atInfo()
        .addKeyValue("event", "config.behind")
        .addKeyValue("version", version)
        .addKeyValue("own", routes == null ? 0 : routes.version())
        .log("another router has a newer configuration");
    store.readAll(ANSWER_TIMEOUT).whenComplete(onTimers(this::onHinted));
  }

  private void onHinted(@Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null || stopped) {
      LOG.atWarn()
          .addKeyValue("event", "store.read_failed")
          .addKeyValue("reason", String.valueOf(cause(error)))
          .log("the newer configuration could not be read");
      return;
    }
    // Changes that came meanwhile may be newer than this read.
    if (batch.revision() >= revision) {
      takeAll(batch);
    }
  }

  private void readAll() {
    if (!stopped) {
      store.readAll(ANSWER_TIMEOUT).whenComplete(onTimers(this::onAll));
    }
  }

  private void onAll(@Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null) {
      retry(error, this::readAll);
      return;
    }
    takeAll(batch);
    watch();
  }

  private void takeAll(Batch batch) {
    long now = contact();
    List<BackendServer> servers = new ArrayList<>();
    for (Published p : batch.items()) {
      if (p instanceof Published.Server s) {
        servers.add(s.server());
      } else {
        apply(p, now);
      }
    }
    directory.replaceAll(servers, now);
    revision = Math.max(revision, batch.revision());
    onChange.run();
  }

  private void watch() {
    if (!stopped) {
      store
          .changesAfter(revision, WATCH_WAIT, WATCH_WAIT.plus(ANSWER_TIMEOUT))
          .whenComplete(onTimers(this::onChanges));
    }
  }

  private void onChanges(@Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null) {
      if (cause(error) instanceof HistoryLostException) {
        LOG.atInfo()
            .addKeyValue("event", "store.history_lost")
            .addKeyValue("revision", revision)
            .log("reading everything anew");
        readAll();
      } else {
        retry(error, this::readAll);
      }
      return;
    }
    long now = contact();
    // Only now does everything work: a store that answers reads may still refuse to be watched.
    pause = MIN_PAUSE;
    batch.items().forEach(p -> apply(p, now));
    revision = Math.max(revision, batch.revision());
    if (!batch.items().isEmpty()) {
      onChange.run();
    }
    watch();
  }

  private long contact() {
    long now = timers.nanos();
    if (!reachable) {
      reachable = true;
      directory.recordStoreReconnected(now);
      LOG.atInfo()
          .addKeyValue("event", "store.regained")
          .addKeyValue("away_ms", contactAgeMillis())
          .log("the store answers again");
    }
    contactAt = now;
    return now;
  }

  private void retry(@Nullable Throwable error, Runnable next) {
    if (reachable) {
      reachable = false;
      LOG.atWarn()
          .addKeyValue("event", "store.lost")
          .addKeyValue("reason", String.valueOf(cause(error)))
          .addKeyValue("revision", revision)
          .log("the store does not answer");
    }
    long millis = (long) (pause.toMillis() * (0.5 + random.nextDouble()));
    pause = pause.multipliedBy(2).compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause.multipliedBy(2);
    timers.schedule(millis * Clock.NANOS_PER_MILLI, next);
  }

  private BiConsumer<@Nullable Batch, @Nullable Throwable> onTimers(
      BiConsumer<@Nullable Batch, @Nullable Throwable> action) {
    return (batch, error) ->
        timers.schedule(
            0,
            () -> {
              count(batch, error);
              action.accept(batch, error);
            });
  }

  private void count(@Nullable Batch batch, @Nullable Throwable error) {
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

  private void apply(Published item, long now) {
    if (item instanceof Published.Routes r) {
      adopt(r.table());
    } else if (item instanceof Published.Server s) {
      directory.put(s.server());
    } else if (item instanceof Published.ServerGone g) {
      directory.withdraw(g.id(), now);
    } else if (item instanceof Published.Unusable u) {
      LOG.atWarn()
          .addKeyValue("event", "store.item_unusable")
          .addKeyValue("key", u.key())
          .addKeyValue("reason", u.reason())
          .log("item ignored");
    }
  }

  private void adopt(RouteTable table) {
    RouteTable old = routes;
    if (old != null && old.version() >= table.version()) {
      return;
    }
    routes = table;
    LOG.atInfo()
        .addKeyValue("event", "config.adopted")
        .addKeyValue("version", table.version())
        .addKeyValue("previous", old == null ? 0 : old.version())
        .addKeyValue("routes", table.size())
        .log("configuration in force");
  }
}
