package org.wigeonwharf.gateway.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;

/**
 * Guards against routers of a failure domain that learn of a change too late after all open
 * connections to the store have gone silent, at any moment between two changes.
 */
class StoreSilenceTest {
  /** Time in ms after which routers count as in touch again. */
  private static final long CONTACT_MILLIS = 4_000;

  private static final long LATENCY_MILLIS = 25;
  private static final long MESSAGE_INTERVAL_MILLIS = 400;
  private static final int FREQUENT_READERS = 2;

  private final VirtualTimers timers = new VirtualTimers();
  private final List<Waiter> waiters = new ArrayList<>();
  private final List<StoreFeed> feeds = new ArrayList<>();
  private long version = 1;

  /** A pending wait for changes; a dead one is on a connection that has gone silent. */
  private final class Waiter {
    private final long after;
    private final CompletableFuture<Batch> answer = new CompletableFuture<>();
    private boolean dead;

    Waiter(long after) {
      this.after = after;
    }

    private void answer() {
      timers.schedule(
          LATENCY_MILLIS * Clock.NANOS_PER_MILLI,
          () -> {
            if (!dead) {
              answer.complete(batch(after));
            }
          });
    }
  }

  private final class Store implements PublishedStore {
    @Override
    public CompletableFuture<Batch> readAll(Duration timeout) {
      CompletableFuture<Batch> answer = new CompletableFuture<>();
      timers.schedule(2 * LATENCY_MILLIS * Clock.NANOS_PER_MILLI, () -> answer.complete(batch(0)));
      return answer;
    }

    @Override
    public CompletableFuture<StorePosition> readPosition(Duration timeout) {
      throw new AssertionError("not needed");
    }

    @Override
    public CompletableFuture<Batch> readServerChanges(long revision, Duration timeout) {
      throw new AssertionError("not needed");
    }

    @Override
    public CompletableFuture<Batch> awaitChanges(long revision, Duration wait, Duration timeout) {
      Waiter w = new Waiter(revision);
      waiters.add(w);
      timers.schedule(
          LATENCY_MILLIS * Clock.NANOS_PER_MILLI,
          () -> {
            if (version > revision) {
              w.answer();
            }
          });
      timers.schedule(wait.toNanos(), w::answer);
      timers.schedule(
          timeout.toNanos(), () -> w.answer.completeExceptionally(new IOException("no answer")));
      return w.answer;
    }
  }

  private Batch batch(long after) {
    List<PublishedItem> items = new ArrayList<>();
    if (version > after) {
      items.add(
          new PublishedItem.Routes(
              new RouteTable(version, List.of(), List.of(), CallerLimits.DEFAULT, null)));
    }
    return new Batch(items, new StorePosition(0, version));
  }

  private void change() {
    version++;
    List.copyOf(waiters).forEach(Waiter::answer);
  }

  /** Tells the other routers at intervals how far a router has read. */
  private void tell(int number) {
    for (StoreFeed other : feeds) {
      if (other != feeds.get(number)) {
        ReaderState state = feeds.get(number).readerState();
        if (state != null) {
          other.onPeerReader(state);
        }
        other.onPeerPosition(feeds.get(number).changePosition());
      }
    }
    timers.schedule(MESSAGE_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI, () -> tell(number));
  }

  private void passOn(int number, StoreChanges changes) {
    for (StoreFeed other : feeds) {
      if (other != feeds.get(number)) {
        other.onPeerChanges(changes);
      }
    }
  }

  private void startFleet(int routers, long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < routers; i++) {
      int number = i;
      StoreFeed feed =
          new StoreFeed(
              new Store(),
              new ServerDirectory(0),
              new Evacuations(),
              timers,
              new Random(seed + i),
              () -> number < FREQUENT_READERS,
              () -> {},
              changes -> passOn(number, changes),
              new MetricRegistry());
      feeds.add(feed);
      timers.schedule(random.nextInt(300) * Clock.NANOS_PER_MILLI, feed::start);
      timers.schedule(random.nextInt(400) * Clock.NANOS_PER_MILLI, () -> tell(number));
    }
    timers.advanceMillis(10_000);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 8, 20})
  void allRoutersReadOnInTimeAfterConnectionsGoSilent(int routers) {
    startFleet(routers, routers);
    long latest = 0;
    for (int pause = 0; pause < 4_000; pause += 37) {
      change();
      timers.advanceMillis(pause);
      waiters.forEach(w -> w.dead = true);
      waiters.clear();
      timers.advanceMillis(500);
      change();
      long expected = version;
      long waited = 500;
      while (feeds.stream().anyMatch(f -> f.routes().version() < expected)) {
        timers.advanceMillis(10);
        waited += 10;
        assertTrue(waited < 20_000, "a router never reads on");
      }
      latest = Math.max(latest, waited);
      timers.advanceMillis(15_000);
    }
    assertTrue(latest < CONTACT_MILLIS, "the last router reads on after " + latest + " ms");
    assertEquals(routers, feeds.size());
  }
}
