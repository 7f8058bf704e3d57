package org.wigeonwharf.gateway.feed;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.http.Timers;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;

/**
 * Keeps the route table, the server directory and the evacuations up to date with the platform's
 * store.
 *
 * <p>Reads all items once and then waits for changes. After lost history or an outage, and in a new
 * era of the store, it reads all items again. While the store is unreachable the last known state
 * stays in use. All work runs on the thread that runs the timers.
 *
 * <p>A few routers of each failure domain read often and pass on the changes of servers. The others
 * follow them and read only what is not passed on, or lost; without a reader that is in contact
 * with the store, they wait for changes themselves.
 *
 * <p>If open connections to the store go silent, all routers of a failure domain have read on
 * within {@link #FREQUENT_WATCH_WAIT}, {@link #WATCH_TIMEOUT}, one interval of the routers'
 * messages and {@link #BEHIND_GRACE}, and the time of two calls.
 */
public final class StoreFeed implements StoreProgress {
  /**
   * Maximum time that the store may hold the call of a frequent reader. A dead connection is
   * detected only after this time, but shorter waits cost more calls.
   */
  private static final Duration FREQUENT_WATCH_WAIT = Duration.ofMillis(2_100);

  /**
   * The same for other routers. They learn of changes that they miss from the frequent readers'
   * revisions.
   */
  private static final Duration WATCH_WAIT = Duration.ofMillis(12_000);

  /**
   * Minimum time between two calls that wait for changes, in which further changes accumulate, such
   * as those of servers that are replaced one after the other.
   */
  private static final Duration WATCH_MIN_INTERVAL = CallPacer.MIN_INTERVAL;

  /** Time between two checks whether the readers of the failure domain can still be followed. */
  private static final Duration FOLLOW_CHECK_INTERVAL = Duration.ofMillis(500);

  /** Maximum delay of a read of what the readers do not pass on, which spreads the calls. */
  private static final Duration MAX_FOLLOW_DELAY = Duration.ofMillis(60);

  /** Maximum wait for the answer to a read of all items. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_000);

  /** Maximum wait for the end of a wait for changes, beyond the time that the store may hold it. */
  private static final Duration WATCH_TIMEOUT = Duration.ofMillis(800);

  /** Minimum time after which a wait that was cut or has brought nothing is renewed at once. */
  private static final Duration MIN_LASTING_WAIT = Duration.ofMillis(250);

  /**
   * Time that a change may reach this router later than another one before the pending wait counts
   * as dead.
   */
  private static final Duration BEHIND_GRACE = Duration.ofMillis(400);

  private static final Logger LOG = LoggerFactory.getLogger(StoreFeed.class);

  private final PublishedStore store;
  private final ServerDirectory directory;
  private final PublishedState state;
  private final CallPacer pacer;
  private final Timers timers;
  private final RandomGenerator random;
  private final BooleanSupplier frequentReader;
  private final Runnable onChange;
  private final Consumer<StoreChanges> passOn;
  private final PeerConfiguration peerConfiguration;
  private final FollowedReaders readers =
      new FollowedReaders(FREQUENT_WATCH_WAIT.plus(WATCH_TIMEOUT).plus(WATCH_MIN_INTERVAL));
  private final MetricRegistry metrics;
  private final StoreCallMetrics callMetrics;
  private StorePosition lastAnswered = StorePosition.NONE;
  private boolean following;
  private boolean reachable = true;
  private long lastContactAt;
  private StorePosition peerPosition = StorePosition.NONE;
  private StorePosition readingFrom = StorePosition.NONE;
  private boolean catchUpScheduled;
  private Duration behindGrace = BEHIND_GRACE;
  private long callNumber;
  private boolean callPending;
  private boolean readingAll;
  private boolean historyLost;
  private long calledAt;
  private Duration currentWait = WATCH_WAIT;
  private boolean stopped;
  private boolean reconnected;
  private long reconnectedAt;

  /**
   * Creates a feed that is not started.
   *
   * @param store the platform's store
   * @param directory the server directory to keep up to date
   * @param evacuations the evacuated failure domains to keep up to date
   * @param timers runs all work
   * @param random adds jitter to retry delays
   * @param frequentReader tells whether this router renews its calls often
   * @param onChange called after each change of routes or servers
   * @param passOn receives the changes that this router passes on to its failure domain
   * @param metrics receives the number of calls by outcome
   */
  public StoreFeed(
      PublishedStore store,
      ServerDirectory directory,
      Evacuations evacuations,
      Timers timers,
      RandomGenerator random,
      BooleanSupplier frequentReader,
      Runnable onChange,
      Consumer<StoreChanges> passOn,
      MetricRegistry metrics) {
    this.store = store;
    this.directory = directory;
    this.state = new PublishedState(directory, evacuations);
    this.pacer = new CallPacer(frequentReader, random);
    this.timers = timers;
    this.random = random;
    this.frequentReader = frequentReader;
    this.onChange = onChange;
    this.passOn = passOn;
    this.metrics = metrics;
    this.callMetrics = new StoreCallMetrics(metrics);
    this.lastContactAt = timers.nanos();
    this.peerConfiguration = new PeerConfiguration(timers.nanos());
  }

  /** Starts to read; called on the thread of the timers. */
  public void start() {
    timers.schedule(PeerConfiguration.MAX_WAIT.toNanos(), this::stopWaitingForPeerConfiguration);
    readAll();
  }

  /** Stops reading; called on the thread of the timers. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns the active routes.
   *
   * @return the newest version read; null before the first read, and while the router has just
   *     started and knows an older version than its peers
   */
  public @Nullable RouteTable routes() {
    return isConfigurationOutdated() ? null : state.routes();
  }

  /** Tells whether requests wait because peers of a router that has just started know better. */
  public boolean isConfigurationOutdated() {
    return peerConfiguration.mustWait(state.routes(), timers.nanos());
  }

  @Override
  public long configurationVersion() {
    RouteTable t = routes();
    return t == null ? 0 : t.version();
  }

  @Override
  public void onPeerConfiguration(long version) {
    boolean outdated = isConfigurationOutdated();
    peerConfiguration.recordPeer(version);
    peerConfiguration.recordOwn(state.routes());
    if (!outdated && isConfigurationOutdated()) {
      LOG.atWarn()
          .addKeyValue("event", "config.outdated")
          .addKeyValue("version", readVersion())
          .addKeyValue("peer_version", version)
          .log("the store holds an older configuration than the peers'; waiting for theirs");
    }
  }

  private long readVersion() {
    RouteTable t = state.routes();
    return t == null ? 0 : t.version();
  }

  private void stopWaitingForPeerConfiguration() {
    if (!stopped && peerConfiguration.isAhead(state.routes())) {
      LOG.atWarn()
          .addKeyValue("event", "config.peers_ahead")
          .addKeyValue("version", readVersion())
          .addKeyValue("peer_version", peerConfiguration.peerVersion())
          .log("using the store's configuration, as the peers' has not been written again");
      onChange.run();
    }
  }

  /** Tells whether the store has been read completely and routes are known. */
  public boolean isInitialized() {
    return routes() != null && state.isRead();
  }

  /** Returns the time in ms since the store last answered. */
  public long contactAgeMillis() {
    return (timers.nanos() - lastContactAt) / Clock.NANOS_PER_MILLI;
  }

  /**
   * Returns the position up to which the store was read; that without one before the first read.
   */
  public StorePosition position() {
    return state.position();
  }

  @Override
  public StorePosition changePosition() {
    return state.changePosition();
  }

  /**
   * Records how far another router has read. If this one does not catch up within a grace period,
   * its pending wait for changes may be on a dead connection and is given up. A later era is read
   * at once, since no wait of the era before leads there. Called on the thread of the timers.
   *
   * @param newer the store's position of the last change that the other router has read
   */
  @Override
  public void onPeerPosition(StorePosition newer) {
    peerPosition = StorePosition.max(peerPosition, newer);
    if (state.isRead() && peerPosition.isAfter(state.position()) && !catchUpScheduled) {
      catchUpScheduled = true;
      boolean sameEra = peerPosition.isSameEra(state.position());
      timers.schedule(sameEra ? behindGrace.toNanos() : followDelayNanos(), this::catchUp);
    }
  }

  /**
   * Reads on if the store's position is not reached shortly by the pending wait for changes.
   *
   * @param position a position that the store has named
   */
  public void readUpTo(StorePosition position) {
    peerPosition = StorePosition.max(peerPosition, position);
    timers.schedule(MAX_FOLLOW_DELAY.toNanos(), this::catchUp);
  }

  private long followDelayNanos() {
    return (long) (random.nextDouble() * MAX_FOLLOW_DELAY.toNanos());
  }

  private void catchUp() {
    catchUpScheduled = false;
    // A wait for changes would be refused, and replace the complete read that is due.
    boolean readAllDue = readingAll || historyLost;
    if (stopped || !reachable || readAllDue || !peerPosition.isAfter(state.position())) {
      return;
    }
    LOG.atInfo()
        .addKeyValue("event", "store.behind")
        .addKeyValue("era", state.position().era())
        .addKeyValue("revision", state.position().revision())
        .addKeyValue("peer_era", peerPosition.era())
        .addKeyValue("peer_revision", peerPosition.revision())
        .addKeyValue("age_ms", contactAgeMillis())
        .log("another router has read later changes; reading on anew");
    if (!peerPosition.isSameEra(state.position())) {
      scheduleCall(pacer.nextDelayNanos(), this::readAll);
      return;
    }
    // The answer may be under way on a slow link, where each further one delays it.
    behindGrace = behindGrace.multipliedBy(2);
    awaitChanges(frequentReader.getAsBoolean() || isFollowing() ? FREQUENT_WATCH_WAIT : WATCH_WAIT);
  }

  /** Returns whether this router relies on the readers of its failure domain. */
  public boolean isFollowing() {
    return !frequentReader.getAsBoolean()
        && readers.isCurrent(state.position().era(), timers.nanos());
  }

  /** Returns the position of the store's last answer, which may be older than what was read. */
  public StorePosition lastAnswered() {
    return lastAnswered;
  }

  @Override
  public @Nullable ReaderState readerState() {
    if (stopped || !isInitialized() || !reachable || !frequentReader.getAsBoolean()) {
      return null;
    }
    long now = timers.nanos();
    long reconnectAge = reconnected ? now - reconnectedAt : -1;
    return new ReaderState(now - lastContactAt, reconnectAge, state.position().era());
  }

  @Override
  public void onPeerReader(ReaderState reader) {
    long now = timers.nanos();
    readers.record(reader, now);
    if (reachable) {
      lastContactAt = Math.max(lastContactAt, now - reader.contactAgeNanos());
    }
    long at = now - reader.reconnectAgeNanos();
    if (reader.reconnectAgeNanos() >= 0 && (!reconnected || at - reconnectedAt > 0)) {
      recordReconnected(at);
    }
  }

  @Override
  public void onPeerChanges(StoreChanges changes) {
    if (stopped || !state.isRead() || !changes.continues(state.position()) || readingAll) {
      return;
    }
    if (changes.complete()) {
      metrics.counter("store.changes_followed").inc();
      runStep(
          (batch, none) -> applyChanges(batch),
          new Batch(changes.items(), changes.position()),
          null);
    } else if (isFollowing() && !callPending) {
      scheduleCall(followDelayNanos(), () -> awaitChanges(FREQUENT_WATCH_WAIT));
    }
  }

  private void readAll() {
    historyLost = false;
    if (!stopped) {
      readingAll = true;
      readingFrom = state.position();
      call(() -> store.readAll(ANSWER_TIMEOUT), this::onReadAll);
    }
  }

  private void onReadAll(@Nullable Batch batch, @Nullable Throwable error) {
    readingAll = false;
    if (batch == null) {
      retryLater(error, this::readAll);
      return;
    }
    if (batch.position().era() < state.position().era()) {
      LOG.atInfo()
          .addKeyValue("event", "store.answer_outdated")
          .addKeyValue("era", batch.position().era())
          .addKeyValue("known_era", state.position().era())
          .log("an answer of the store is of an earlier era; reading all items again");
      scheduleCall(pacer.retryDelayNanos(), this::readAll);
      return;
    }
    applyAll(batch);
    watch();
  }

  private void applyAll(Batch batch) {
    final long now = recordContact();
    StorePosition next = batch.position();
    if (state.isOfOtherEra(batch)) {
      // Entries of live servers may be missing, as after an outage.
      recordReconnected(now);
      logChange("store.restored", next, "the store was restored from an earlier copy");
      state.restore(batch, now);
    } else if (readingFrom.isAfter(next)) {
      // Waiting for changes after a revision that the store does not have would never succeed.
      peerPosition = next;
      logChange("store.revision_fell", next, "the revision of the store fell within its era");
      state.restore(batch, now);
    } else {
      state.replaceAll(batch, now);
    }
    peerConfiguration.recordOwn(state.routes());
    behindGrace = BEHIND_GRACE;
    onChange.run();
  }

  private void logChange(String event, StorePosition next, String message) {
    StorePosition known = state.position();
    RouteTable kept = state.routes();
    LOG.atWarn()
        .addKeyValue("event", event)
        .addKeyValue("era", next.era())
        .addKeyValue("revision", next.revision())
        .addKeyValue("previous_era", known.era())
        .addKeyValue("previous_revision", known.revision())
        .addKeyValue("config_version", kept == null ? 0 : kept.version())
        .log(message);
  }

  private void watch() {
    logFollowing();
    if (!stopped && isFollowing()) {
      scheduleCall(
          FOLLOW_CHECK_INTERVAL.toNanos(),
          () -> {
            pacer.recordSuccess();
            watch();
          });
      return;
    }
    awaitChanges(frequentReader.getAsBoolean() ? FREQUENT_WATCH_WAIT : WATCH_WAIT);
  }

  private void logFollowing() {
    if (following != isFollowing()) {
      following = !following;
      LOG.atInfo()
          .addKeyValue("event", "store.following")
          .addKeyValue("following", following)
          .addKeyValue("revision", state.position().revision())
          .log(
              following
                  ? "reading only what the readers of the failure domain do not pass on"
                  : "reading all changes from the store");
    }
  }

  private void awaitChanges(Duration wait) {
    if (!stopped) {
      readingAll = false;
      historyLost = false;
      currentWait = wait;
      StorePosition after = state.position();
      call(
          () -> store.awaitChanges(after.revision(), wait, wait.plus(WATCH_TIMEOUT)),
          (batch, error) -> onChanges(after, batch, error));
    }
  }

  private void onChanges(StorePosition after, @Nullable Batch batch, @Nullable Throwable error) {
    if (batch == null) {
      if (StoreCallMetrics.cause(error) instanceof HistoryLostException lost) {
        LOG.atInfo()
            .addKeyValue("event", "store.history_lost")
            .addKeyValue("revision", after.revision())
            .addKeyValue("era", lost.era())
            .log("the store has discarded the changes; reading all items again");
        historyLost = true;
        scheduleCall(pacer.nextDelayNanos(), this::readAll);
      } else {
        onWatchFailed(error);
      }
      return;
    }
    recordContact();
    if (!batch.position().isSameEra(after) || !after.isSameEra(state.position())) {
      // What was asked for means something else in another era.
      scheduleCall(pacer.nextDelayNanos(), this::readAll);
      return;
    }
    boolean overtaken =
        state.position().isAfter(after) && !batch.position().isAfter(state.position());
    if (batch.items().isEmpty() || overtaken) {
      state.recordUnchanged(batch.position());
      watchAgain();
      return;
    }
    if (batch.position().isAfter(after)) {
      pacer.recordSuccess();
    }
    applyChanges(batch);
    if (frequentReader.getAsBoolean()) {
      passOn.accept(StoreChanges.of(after, batch));
    }
    scheduleCall(WATCH_MIN_INTERVAL.toNanos(), this::watch);
  }

  private Duration waited() {
    return Duration.ofNanos(timers.nanos() - calledAt);
  }

  /** Renews a wait that has brought nothing, at once if it has lasted for some time. */
  private void watchAgain() {
    if (waited().compareTo(MIN_LASTING_WAIT) >= 0) {
      pacer.recordSuccess();
      watch();
      return;
    }
    long delay = pacer.nextDelayNanos();
    if (delay == 0) {
      watch();
    } else {
      scheduleCall(delay, this::watch);
    }
  }

  private void applyChanges(Batch batch) {
    state.applyChanges(batch, timers.nanos());
    peerConfiguration.recordOwn(state.routes());
    behindGrace = BEHIND_GRACE;
    onChange.run();
  }

  /**
   * Distinguishes a wait that was cut from a failed or silent store. Only a wait that took its full
   * time without an answer, or a failed read of all items, is an outage: after those, entries of
   * servers that live may be missing.
   */
  private void onWatchFailed(@Nullable Throwable error) {
    Duration waited = waited();
    if (waited.compareTo(currentWait) >= 0) {
      pacer.recordSuccess();
      recordLost(error);
      readAll();
      return;
    }
    LOG.atInfo()
        .addKeyValue("event", "store.wait_cut")
        .addKeyValue("reason", String.valueOf(StoreCallMetrics.cause(error)))
        .addKeyValue("waited_ms", waited.toMillis())
        .log("a wait for changes was cut");
    if (waited.compareTo(MIN_LASTING_WAIT) >= 0) {
      pacer.recordSuccess();
      watch();
    } else {
      scheduleCall(pacer.retryDelayNanos(), this::readAll);
    }
  }

  /** Makes a call later, unless another call has been made by then. */
  private void scheduleCall(long delayNanos, Runnable call) {
    long number = callNumber;
    timers.schedule(
        delayNanos,
        () -> {
          if (number == callNumber) {
            call.run();
          }
        });
  }

  private long recordContact() {
    long now = timers.nanos();
    if (!reachable) {
      reachable = true;
      recordReconnected(now);
      LOG.atInfo()
          .addKeyValue("event", "store.regained")
          .addKeyValue("away_ms", contactAgeMillis())
          .log("the store is reachable again");
    }
    lastContactAt = now;
    return now;
  }

  private void recordReconnected(long at) {
    reconnected = true;
    reconnectedAt = at;
    directory.recordStoreReconnected(at);
  }

  private void retryLater(@Nullable Throwable error, Runnable action) {
    recordLost(error);
    scheduleCall(pacer.retryDelayNanos(), action);
  }

  private void recordLost(@Nullable Throwable error) {
    if (reachable) {
      reachable = false;
      LOG.atWarn()
          .addKeyValue("event", "store.lost")
          .addKeyValue("reason", String.valueOf(StoreCallMetrics.cause(error)))
          .addKeyValue("revision", state.position().revision())
          .log("the store is unreachable");
    }
  }

  /**
   * Calls the store and runs an action with the answer. If a later call has been made by then, the
   * answer is used for newer changes only. An exception at any step counts as a failed call, since
   * only the end of one call leads to the next.
   */
  private void call(
      Supplier<CompletableFuture<Batch>> call,
      BiConsumer<@Nullable Batch, @Nullable Throwable> action) {
    long number = ++callNumber;
    callPending = true;
    long wait = pacer.waitNanos(timers.nanos());
    if (wait == 0) {
      callNow(number, call, action);
      return;
    }
    timers.schedule(
        wait,
        () -> {
          if (number == callNumber && !stopped) {
            callNow(number, call, action);
          }
        });
  }

  private void callNow(
      long number,
      Supplier<CompletableFuture<Batch>> call,
      BiConsumer<@Nullable Batch, @Nullable Throwable> action) {
    // A late complete read does not tell what was removed before it.
    final boolean continues = !readingAll;
    pacer.recordCall(timers.nanos());
    calledAt = timers.nanos();
    CompletableFuture<Batch> answer;
    try {
      answer = call.get();
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (batch, error) ->
            timers.schedule(
                0,
                () -> {
                  callMetrics.count(batch != null, error);
                  recordAnswered(batch);
                  if (number == callNumber) {
                    callPending = false;
                    runStep(action, batch, error);
                  } else if (batch != null && continues && isLaterInEra(batch.position())) {
                    runStep((late, none) -> applyChanges(late), batch, null);
                  }
                }));
  }

  /** Returns whether a position is later than the one read, in the same era. */
  private boolean isLaterInEra(StorePosition p) {
    return p.isSameEra(state.position()) && p.isAfter(state.position());
  }

  private void runStep(
      BiConsumer<@Nullable Batch, @Nullable Throwable> action,
      @Nullable Batch batch,
      @Nullable Throwable error) {
    try {
      action.accept(batch, error);
    } catch (RuntimeException e) {
      LOG.atError()
          .addKeyValue("event", "store.step_failed")
          .addKeyValue("reason", String.valueOf(e))
          .setCause(e)
          .log("applying an answer of the store failed; reading all items again");
      retryLater(e, this::readAll);
    }
  }

  private void recordAnswered(@Nullable Batch batch) {
    if (batch == null) {
      return;
    }
    StorePosition next = batch.position();
    boolean first = lastAnswered.equals(StorePosition.NONE);
    if (!first && (lastAnswered.isAfter(next) || !next.isSameEra(lastAnswered))) {
      LOG.atWarn()
          .addKeyValue("event", "store.position_changed")
          .addKeyValue("era", next.era())
          .addKeyValue("revision", next.revision())
          .addKeyValue("previous_era", lastAnswered.era())
          .addKeyValue("previous_revision", lastAnswered.revision())
          .log("the store answers from another era or an earlier revision");
    }
    lastAnswered = next;
  }
}
