package org.wigeonwharf.gateway.feed;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.http.Timers;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.gateway.stream.ServerListCheck;

/**
 * Compares on demand what this router has read with the position of the store.
 *
 * <p>A wait for changes that brings nothing does not tell whether there are none: the connection
 * may be dead, and a process that was stopped finds old answers first. Only an answer to a call
 * that was made later than some moment shows that everything published until then is known. All
 * work runs on the thread of the timers.
 */
public final class PositionCheck implements ServerListCheck {
  /** Maximum wait for the answer to one call. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(450);

  /** Minimum time between two calls. */
  private static final Duration MIN_INTERVAL = Duration.ofMillis(100);

  /** Minimum time between a call that failed and the next. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(1_000);

  private static final Logger LOG = LoggerFactory.getLogger(PositionCheck.class);

  private final PublishedStore store;
  private final Supplier<StorePosition> readPosition;
  private final Consumer<StorePosition> onBehind;
  private final Timers timers;
  private final Runnable onComplete;
  private final StoreCallMetrics callMetrics;
  private boolean calling;
  private long calledAt;
  private boolean called;
  private long nextCallAt;
  private boolean wanted;
  private long wantedUntil;
  private boolean scheduled;
  private @Nullable StorePosition answered;
  private long answeredCallAt;
  private boolean complete;
  private long completeUntil;

  /**
   * Creates a check that has made no call.
   *
   * @param store the platform's store
   * @param readPosition supplies the position up to which this router has read the store
   * @param onBehind receives the store's position if it is later, to read on
   * @param timers runs all work
   * @param onComplete called when everything until a requested time is known
   * @param metrics receives the number of calls by outcome
   */
  public PositionCheck(
      PublishedStore store,
      Supplier<StorePosition> readPosition,
      Consumer<StorePosition> onBehind,
      Timers timers,
      Runnable onComplete,
      MetricRegistry metrics) {
    this.store = store;
    this.readPosition = readPosition;
    this.onBehind = onBehind;
    this.timers = timers;
    this.onComplete = onComplete;
    this.callMetrics = new StoreCallMetrics(metrics);
  }

  @Override
  public boolean isCompleteUntil(long time) {
    recordRead();
    return complete && completeUntil - time >= 0;
  }

  @Override
  public void request(long time) {
    boolean pending = (calling || answered != null) && calledAt - time >= 0;
    if (pending || isCompleteUntil(time)) {
      return;
    }
    wantedUntil = wanted && wantedUntil - time > 0 ? wantedUntil : time;
    wanted = true;
    callWhenDue();
  }

  /** Takes notice of what this router has read since the last answer. */
  public void recordRead() {
    StorePosition a = answered;
    StorePosition read = readPosition.get();
    if (a != null && read.isSameEra(a) && !a.isAfter(read)) {
      answered = null;
      complete = true;
      completeUntil = answeredCallAt;
    }
  }

  private void callWhenDue() {
    if (calling || scheduled) {
      return;
    }
    long wait = called ? nextCallAt - timers.nanos() : 0;
    if (wait <= 0) {
      call();
      return;
    }
    scheduled = true;
    timers.schedule(
        wait,
        () -> {
          scheduled = false;
          wanted = wanted && !isCompleteUntil(wantedUntil);
          if (wanted) {
            call();
          }
        });
  }

  private void call() {
    calling = true;
    wanted = false;
    called = true;
    calledAt = timers.nanos();
    long at = calledAt;
    CompletableFuture<StorePosition> answer;
    try {
      answer = store.readPosition(ANSWER_TIMEOUT);
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (position, error) -> timers.schedule(0, () -> onAnswer(at, position, error)));
  }

  private void onAnswer(long at, @Nullable StorePosition position, @Nullable Throwable error) {
    calling = false;
    callMetrics.count(position != null, error);
    if (position == null) {
      nextCallAt = timers.nanos() + RETRY_INTERVAL.toNanos();
      LOG.atInfo()
          .addKeyValue("event", "store.check_failed")
          .addKeyValue("reason", String.valueOf(StoreCallMetrics.cause(error)))
          .log("the store does not tell whether all servers are known");
      return;
    }
    nextCallAt = at + MIN_INTERVAL.toNanos();
    answered = position;
    answeredCallAt = at;
    recordRead();
    if (answered == null) {
      onComplete.run();
    } else {
      onBehind.accept(position);
    }
    if (wanted) {
      callWhenDue();
    }
  }
}
