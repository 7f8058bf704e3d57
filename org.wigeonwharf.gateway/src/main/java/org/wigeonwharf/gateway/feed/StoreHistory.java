package org.wigeonwharf.gateway.feed;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.Timers;
import org.wigeonwharf.gateway.store.StorePosition;

/**
 * Finds the servers whose entries were removed from the store before this router read it.
 *
 * <p>A complete read lists only the servers of that moment. The store keeps the changes of the last
 * seconds, but not the revision at which they begin, which is searched for: by growing steps down
 * to one that the store has discarded, and then by halves. The entry of a removed server is known
 * only if it was written within these changes. All work runs on the thread of the timers.
 */
public final class StoreHistory {
  /** Factor by which a step of the search is longer than the one before. */
  private static final long STEP_FACTOR = 4;

  /** Maximum number of calls of one search. */
  private static final int MAX_CALLS = 24;

  /** Maximum wait for the answer to one call. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_000);

  /** Time between a search that failed and the next. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(1_000);

  private static final Logger LOG = LoggerFactory.getLogger(StoreHistory.class);

  private final PublishedStore store;
  private final Supplier<StorePosition> readPosition;
  private final Duration age;
  private final Timers timers;
  private final Listener listener;
  private final StoreCallMetrics callMetrics;
  private int generation;
  private boolean searching;
  private boolean finished;
  private boolean failed;
  private long failedAt;

  /** Receives what a search has found. */
  public interface Listener {
    /**
     * Called when all servers are known that were removed within some time before now.
     *
     * @param removed the last entry of each run of a server that is no longer published
     * @param ageNanos the time in nanoseconds
     */
    void onRemovedServers(List<BackendServer> removed, long ageNanos);
  }

  /** Holds the bounds of a search and what it has read. */
  private final class Search {
    private final StorePosition from;
    private final int generation;
    private long discarded = -1;
    private long available;
    private List<PublishedItem> changes = List.of();
    private long step = 1;
    private int calls;

    Search(StorePosition from, int generation) {
      this.from = from;
      this.generation = generation;
      this.available = from.revision();
    }

    boolean isOver() {
      return available - discarded <= 1;
    }

    /** Returns the revision to ask for next. */
    long next() {
      if (discarded >= 0) {
        return (discarded + available) / 2;
      }
      long revision = Math.max(0, from.revision() - step);
      step *= STEP_FACTOR;
      return revision;
    }

    void recordAvailable(long revision, List<PublishedItem> items) {
      available = revision;
      changes = items;
    }

    void recordDiscarded(long revision) {
      discarded = revision;
    }
  }

  /**
   * Creates an instance that has not searched.
   *
   * @param store the platform's store
   * @param readPosition supplies the position up to which this router has read the store
   * @param age time for which the store keeps changes
   * @param timers runs all work
   * @param listener receives the servers that are found
   * @param metrics receives the number of calls by outcome
   */
  public StoreHistory(
      PublishedStore store,
      Supplier<StorePosition> readPosition,
      Duration age,
      Timers timers,
      Listener listener,
      MetricRegistry metrics) {
    this.store = store;
    this.readPosition = readPosition;
    this.age = age;
    this.timers = timers;
    this.listener = listener;
    this.callMetrics = new StoreCallMetrics(metrics);
  }

  /**
   * Searches for removed servers unless that was done since the last call of {@link #reset}. The
   * listener is called later, if all that were removed can be named.
   */
  public void request() {
    StorePosition from = readPosition.get();
    boolean early = failed && timers.nanos() - failedAt < RETRY_INTERVAL.toNanos();
    if (searching || finished || early || from.equals(StorePosition.NONE)) {
      return;
    }
    searching = true;
    step(new Search(from, generation));
  }

  /** Allows another search, as changes may have been missed since the last one. */
  public void reset() {
    generation++;
    searching = false;
    finished = false;
    failed = false;
  }

  private void step(Search search) {
    if (search.isOver()) {
      finish(search);
      return;
    }
    if (++search.calls > MAX_CALLS) {
      fail("more than " + MAX_CALLS + " calls");
      return;
    }
    long revision = search.next();
    CompletableFuture<Batch> answer;
    try {
      answer = store.readServerChanges(revision, ANSWER_TIMEOUT);
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (batch, error) -> timers.schedule(0, () -> onAnswer(search, revision, batch, error)));
  }

  private void onAnswer(
      Search search, long revision, @Nullable Batch batch, @Nullable Throwable error) {
    callMetrics.count(batch != null, error);
    if (search.generation != generation) {
      return;
    }
    Throwable cause = StoreCallMetrics.cause(error);
    if (cause instanceof HistoryLostException lost && lost.era() == search.from.era()) {
      search.recordDiscarded(revision);
    } else if (batch == null) {
      fail(String.valueOf(cause));
      return;
    } else if (!batch.position().isSameEra(search.from)) {
      fail("the store was restored");
      return;
    } else {
      search.recordAvailable(revision, batch.items());
    }
    step(search);
  }

  private void fail(String reason) {
    searching = false;
    failed = true;
    failedAt = timers.nanos();
    LOG.atInfo()
        .addKeyValue("event", "store.past_unknown")
        .addKeyValue("reason", reason)
        .log("the servers that left before the start could not be read");
  }

  private void finish(Search search) {
    searching = false;
    finished = true;
    List<BackendServer> removed = new ArrayList<>();
    int unknown = collectRemoved(search.changes, removed);
    LOG.atInfo()
        .addKeyValue("event", "store.past_read")
        .addKeyValue("revision", search.available)
        .addKeyValue("read_revision", search.from.revision())
        .addKeyValue("calls", search.calls)
        .addKeyValue("removed", removed.size())
        .addKeyValue("removed_unknown", unknown)
        .log("the servers that left before the start were read");
    if (unknown == 0) {
      listener.onRemovedServers(removed, age.toNanos());
    }
  }

  /**
   * Collects the runs of servers that ended within some changes.
   *
   * @param changes the changes in the store's order
   * @param removed receives the last entry of each of these runs, and of each state of a run that
   *     was replaced by one with another software version
   * @return the number of removed entries whose contents are unknown
   */
  private static int collectRemoved(List<PublishedItem> changes, List<BackendServer> removed) {
    Map<String, BackendServer> written = new HashMap<>();
    int unknown = 0;
    for (PublishedItem item : changes) {
      if (item instanceof PublishedItem.Server s) {
        BackendServer former = written.put(s.server().id(), s.server());
        if (former != null && !isSameVersion(former, s.server())) {
          removed.add(former);
        }
      } else if (item instanceof PublishedItem.ServerRemoved r) {
        BackendServer former = written.remove(r.id());
        if (former == null) {
          unknown++;
        } else {
          removed.add(former);
        }
      }
    }
    return unknown;
  }

  private static boolean isSameVersion(BackendServer a, BackendServer b) {
    return a.service().equals(b.service()) && a.softwareVersion().equals(b.softwareVersion());
  }
}
