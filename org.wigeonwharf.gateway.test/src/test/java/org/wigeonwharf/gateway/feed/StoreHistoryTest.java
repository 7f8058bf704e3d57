package org.wigeonwharf.gateway.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.FailureDomain;

/** Guards against servers that left unseen before a router started and are taken for none. */
class StoreHistoryTest {
  private static final Duration AGE = Duration.ofSeconds(20);

  private final VirtualTimers timers = new VirtualTimers();
  private final SimulatedStore store = new SimulatedStore(timers);
  private final SimulatedStore.Client client = store.new Client(2);
  private StorePosition read = StorePosition.NONE;
  private @Nullable List<String> found;
  private final StoreHistory history =
      new StoreHistory(client, () -> read, AGE, timers, this::record, new MetricRegistry());

  private void record(List<BackendServer> removed, long ageNanos) {
    assertEquals(AGE.toNanos(), ageNanos);
    found = removed.stream().map(s -> s.id() + " " + s.softwareVersion()).sorted().toList();
  }

  private void put(String id, String version) {
    store.put(
        id,
        position ->
            new PublishedItem.Server(
                new BackendServer(
                    id,
                    "service",
                    new InetSocketAddress("127.0.0.1", 9),
                    new FailureDomain("d"),
                    6,
                    false,
                    1,
                    version,
                    0,
                    position)));
  }

  private void remove(String id) {
    store.remove(id, position -> new PublishedItem.ServerRemoved(id));
  }

  private void search() {
    read = store.position();
    history.request();
    timers.advanceMillis(500);
  }

  @Test
  void removedServersAreFoundWithTheirVersions() {
    put("a", "v1");
    put("b", "v2");
    put("c", "v1");
    put("a", "v1");
    remove("a");
    remove("b");
    search();
    assertEquals(List.of("a v1", "b v2"), found);
  }

  // Guards against a change in place that hides what the server ran before.
  @Test
  void serverThatIsPublishedWithAnotherVersionHasServedBoth() {
    put("a", "v1");
    put("a", "v2");
    search();
    assertEquals(List.of("a v1"), found);
  }

  // Guards against a deleted key that is taken for a server of any known version.
  @Test
  void removedServerWhoseEntryIsNoLongerInTheHistoryProvesNothing() {
    put("a", "v1");
    store.dropHistory();
    put("b", "v2");
    remove("a");
    search();
    assertNull(found);
  }

  @Test
  void emptyHistoryCostsOneCall() {
    put("a", "v1");
    remove("a");
    store.dropHistory();
    search();
    assertEquals(List.of(), found);
    assertEquals(1, store.calls());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 60, 700, 5_000})
  void allChangesThatTheStoreHasAreRead(int changes) {
    for (int i = 0; i < 3_000; i++) {
      put("x", "v1");
    }
    store.dropHistory();
    put("first", "v3");
    for (int i = 1; i < changes; i++) {
      put("x", "v1");
    }
    remove("first");
    search();
    assertEquals(List.of("first v3"), found);
    assertTrue(store.calls() <= 20, "calls: " + store.calls());
  }

  @Test
  void failedSearchIsRepeatedLater() {
    put("a", "v1");
    client.setCutOff(true);
    search();
    assertNull(found);
    client.setCutOff(false);
    search();
    assertNull(found);
    timers.advanceMillis(1_000);
    search();
    assertEquals(List.of(), found);
  }

  @Test
  void searchInStoreThatWasRestoredMeanwhileTellsNothing() {
    put("a", "v1");
    SimulatedStore.Copy copy = store.copy();
    put("b", "v1");
    read = store.position();
    store.restore(copy);
    history.request();
    timers.advanceMillis(500);
    assertNull(found);
  }

  @Test
  void searchIsMadeOnceUnlessChangesMayHaveBeenMissed() {
    put("a", "v1");
    search();
    int calls = store.calls();
    search();
    assertEquals(calls, store.calls());
    history.reset();
    search();
    assertTrue(store.calls() > calls);
  }

  // Guards against a search whose result lacks what was missed while it was made.
  @Test
  void searchThatBeganBeforeChangesWereMissedTellsNothing() {
    put("a", "v1");
    read = store.position();
    history.request();
    history.reset();
    timers.advanceMillis(500);
    assertNull(found);
    search();
    assertEquals(List.of(), found);
  }
}
