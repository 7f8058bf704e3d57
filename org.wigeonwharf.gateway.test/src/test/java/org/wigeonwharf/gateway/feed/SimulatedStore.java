package org.wigeonwharf.gateway.feed;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;

/** Plays the platform's store in virtual time, with outages, copies and restores. */
final class SimulatedStore {
  private final VirtualTimers timers;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private StorePosition position = new StorePosition(1, 10);
  private long oldestRevision = 10;
  private boolean away;
  private int calls;
  private int completeReads;

  /** Something written at a position, whose item names that position. */
  private record Entry(Function<StorePosition, PublishedItem> item, long revision) {}

  private record Change(long revision, PublishedItem item) {}

  /** The contents of the store at a revision. */
  record Copy(Map<String, Entry> entries, long revision) {}

  private record Waiter(long after, long era, CompletableFuture<Batch> answer, Client client) {}

  SimulatedStore(VirtualTimers timers) {
    this.timers = timers;
  }

  StorePosition position() {
    return position;
  }

  int calls() {
    return calls;
  }

  int completeReads() {
    return completeReads;
  }

  void put(String key, Function<StorePosition, PublishedItem> item) {
    position = new StorePosition(position.era(), position.revision() + 1);
    entries.put(key, new Entry(item, position.revision()));
    history.add(new Change(position.revision(), item.apply(position)));
    answerWaiters();
  }

  void remove(String key, Function<StorePosition, PublishedItem> removal) {
    if (entries.remove(key) != null) {
      position = new StorePosition(position.era(), position.revision() + 1);
      history.add(new Change(position.revision(), removal.apply(position)));
      answerWaiters();
    }
  }

  /** Discards the history, so that waiting clients have to read all items again. */
  void dropHistory() {
    history.clear();
    oldestRevision = position.revision() + 1;
    position = new StorePosition(position.era(), oldestRevision);
    answerWaiters();
  }

  Copy copy() {
    return new Copy(Map.copyOf(entries), position.revision());
  }

  void restore(Copy copy) {
    entries.clear();
    entries.putAll(copy.entries);
    history.clear();
    oldestRevision = copy.revision;
    position = new StorePosition(position.era() + 1, copy.revision);
  }

  /** Makes the store unreachable, which cuts waiting calls, or reachable again. */
  void setAway(boolean next) {
    away = next;
    if (away) {
      List.copyOf(waiters).forEach(w -> w.answer.completeExceptionally(new IOException("reset")));
      waiters.clear();
    }
  }

  private void answerWaiters() {
    for (Waiter w : List.copyOf(waiters)) {
      answer(w);
    }
    waiters.clear();
  }

  private void answer(Waiter w) {
    if (w.client.cutOff) {
      return;
    }
    timers.schedule(w.client.latencyNanos, () -> complete(w));
  }

  private void complete(Waiter w) {
    if (away || w.client.cutOff) {
      w.answer.completeExceptionally(new IOException("reset"));
    } else if (w.after < oldestRevision || w.after > position.revision()) {
      w.answer.completeExceptionally(new HistoryLostException(position.era()));
    } else {
      List<PublishedItem> items =
          history.stream().filter(c -> c.revision > w.after).map(Change::item).toList();
      w.answer.complete(new Batch(items, position));
    }
  }

  private Batch everything() {
    List<PublishedItem> items =
        entries.values().stream()
            .map(e -> e.item.apply(new StorePosition(position.era(), e.revision)))
            .collect(Collectors.toList());
    return new Batch(items, position);
  }

  /** The connections of one router to the store. */
  final class Client implements PublishedStore {
    private final long latencyNanos;
    private boolean cutOff;

    Client(long latencyMillis) {
      this.latencyNanos = latencyMillis * Clock.NANOS_PER_MILLI;
    }

    /** Cuts the router off from the store, or ends that. */
    void setCutOff(boolean next) {
      cutOff = next;
    }

    private @Nullable CompletableFuture<Batch> refuse() {
      calls++;
      return away || cutOff ? CompletableFuture.failedFuture(new IOException("refused")) : null;
    }

    @Override
    public CompletableFuture<Batch> readAll(Duration timeout) {
      completeReads++;
      CompletableFuture<Batch> refused = refuse();
      if (refused != null) {
        return refused;
      }
      CompletableFuture<Batch> answer = new CompletableFuture<>();
      timers.schedule(
          latencyNanos,
          () -> {
            if (away || cutOff) {
              answer.completeExceptionally(new IOException("reset"));
              return;
            }
            Batch batch = everything();
            timers.schedule(latencyNanos, () -> answer.complete(batch));
          });
      return answer;
    }

    @Override
    public CompletableFuture<Batch> awaitChanges(long revision, Duration wait, Duration timeout) {
      CompletableFuture<Batch> refused = refuse();
      if (refused != null) {
        return refused;
      }
      CompletableFuture<Batch> answer = new CompletableFuture<>();
      Waiter w = new Waiter(revision, position.era(), answer, this);
      timers.schedule(
          latencyNanos,
          () -> {
            if (revision == position.revision() && !away) {
              waiters.add(w);
            } else {
              answer(w);
            }
          });
      timers.schedule(wait.toNanos(), () -> endWait(w));
      timers.schedule(
          timeout.toNanos(), () -> answer.completeExceptionally(new IOException("no answer")));
      return answer;
    }

    @Override
    public CompletableFuture<StorePosition> readPosition(Duration timeout) {
      calls++;
      CompletableFuture<StorePosition> answer = new CompletableFuture<>();
      timers.schedule(
          latencyNanos,
          () -> {
            if (away || cutOff) {
              answer.completeExceptionally(new IOException("reset"));
              return;
            }
            StorePosition current = position;
            timers.schedule(latencyNanos, () -> answer.complete(current));
          });
      timers.schedule(
          timeout.toNanos(), () -> answer.completeExceptionally(new IOException("no answer")));
      return answer;
    }

    @Override
    public CompletableFuture<Batch> readServerChanges(long revision, Duration timeout) {
      CompletableFuture<Batch> refused = refuse();
      if (refused != null) {
        return refused;
      }
      CompletableFuture<Batch> answer = new CompletableFuture<>();
      timers.schedule(
          latencyNanos, () -> answer(new Waiter(revision, position.era(), answer, this)));
      timers.schedule(
          timeout.toNanos(), () -> answer.completeExceptionally(new IOException("no answer")));
      return answer;
    }

    private void endWait(Waiter w) {
      if (waiters.remove(w)) {
        answer(w);
      }
    }
  }
}
