package org.wigeonwharf.gateway.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards against servers and routes that are lost during a store outage, stale reads that replace
 * newer state, and calls that overload a failing store.
 */
class StoreFeedTest {
  private static final long GRACE_MILLIS = 2_000;
  private static final long ERA = 1;
  private static final long BEHIND_GRACE_MILLIS = 400;
  private static final long WATCH_MIN_INTERVAL_MILLIS = 250;

  private final VirtualTimers timers = new VirtualTimers();
  private final ServerDirectory directory =
      new ServerDirectory(GRACE_MILLIS * Clock.NANOS_PER_MILLI);
  private final Evacuations evacuations = new Evacuations();
  private final List<Call> calls = new ArrayList<>();
  private boolean frequentReader = true;
  private boolean throwing;
  private final List<StoreChanges> passedOn = new ArrayList<>();
  private Runnable onChange = () -> {};
  private final StoreFeed feed =
      new StoreFeed(
          new FakeStore(),
          directory,
          evacuations,
          timers,
          new SplittableRandom(1),
          () -> frequentReader,
          () -> onChange.run(),
          passedOn::add,
          new MetricRegistry());

  /** A call of the feed to the store, to be completed by the test. */
  private static final class Call {
    private final long after;
    private final Duration wait;
    private final CompletableFuture<Batch> answer = new CompletableFuture<>();

    Call(long after, Duration wait) {
      this.after = after;
      this.wait = wait;
    }
  }

  private final class FakeStore implements PublishedStore {
    @Override
    public CompletableFuture<Batch> readAll(Duration timeout) {
      return call(-1, Duration.ZERO);
    }

    @Override
    public CompletableFuture<Batch> awaitChanges(long revision, Duration wait, Duration timeout) {
      return call(revision, wait);
    }

    @Override
    public CompletableFuture<StorePosition> readPosition(Duration timeout) {
      throw new AssertionError("not needed");
    }

    @Override
    public CompletableFuture<Batch> readServerChanges(long revision, Duration timeout) {
      return call(revision, Duration.ZERO);
    }

    private CompletableFuture<Batch> call(long after, Duration wait) {
      if (throwing) {
        throw new IllegalStateException("channel not registered to an event loop");
      }
      Call c = new Call(after, wait);
      calls.add(c);
      return c.answer;
    }
  }

  private static StorePosition at(long revision) {
    return new StorePosition(ERA, revision);
  }

  private static PublishedItem routes(long version) {
    return new PublishedItem.Routes(
        new RouteTable(version, List.of(), List.of(), CallerLimits.DEFAULT, null));
  }

  private static PublishedItem server(String id) {
    return new PublishedItem.Server(
        new BackendServer(
            id,
            "service",
            new InetSocketAddress("127.0.0.1", 9),
            new FailureDomain("d"),
            6,
            false,
            1));
  }

  private static PublishedItem evacuation(String domain, boolean active, long revision) {
    return new PublishedItem.EvacuationChange(
        new Evacuation(new FailureDomain(domain), active, at(revision)));
  }

  private boolean isEvacuated(String domain) {
    return evacuations.isEvacuated(new FailureDomain(domain));
  }

  private Call lastCall() {
    return calls.get(calls.size() - 1);
  }

  private void answer(long revision, PublishedItem... items) {
    lastCall().answer.complete(new Batch(List.of(items), at(revision)));
    timers.advanceMillis(0);
  }

  private void fail(IOException e) {
    lastCall().answer.completeExceptionally(e);
    timers.advanceMillis(0);
  }

  private void startWith(PublishedItem... items) {
    feed.start();
    answer(5, items);
  }

  private int usableServers() {
    return directory.usable("service").size();
  }

  @Test
  void readsAllItemsThenWatchesFromTheirRevision() {
    startWith(routes(3), server("a"));
    assertTrue(feed.isInitialized());
    assertEquals(5, lastCall().after);
    answer(7, routes(4), new PublishedItem.ServerRemoved("a"));
    assertEquals(4, feed.routes().version());
    assertEquals(0, usableServers());
    timers.advanceMillis(WATCH_MIN_INTERVAL_MILLIS);
    assertEquals(7, lastCall().after);
  }

  @Test
  void lowerVersionNeverReplacesHigherVersion() {
    startWith(routes(3));
    answer(6, routes(2));
    assertEquals(3, feed.routes().version());
  }

  @Test
  void unusableItemKeepsPreviousRoutes() {
    startWith(routes(3));
    answer(6, new PublishedItem.Unusable("key", "broken"));
    assertEquals(3, feed.routes().version());
  }

  @Test
  void lostHistoryTriggersImmediateFullRead() {
    startWith(routes(3), server("a"), server("b"));
    fail(new HistoryLostException(ERA));
    assertEquals(-1, lastCall().after);
    answer(20, routes(9), server("b"));
    assertEquals(9, feed.routes().version());
    assertEquals(1, usableServers());
    assertEquals(20, lastCall().after);
  }

  @Test
  void routesAndServersStayInUseDuringStoreOutage() {
    startWith(routes(3), server("a"));
    for (int i = 0; i < 20; i++) {
      fail(new IOException("no answer"));
      timers.advanceMillis(2_000);
    }
    assertEquals(3, feed.routes().version());
    assertEquals(1, usableServers());
  }

  @Test
  void evacuationsAreReadAndEnd() {
    startWith(routes(3), evacuation("d", true, 4));
    assertTrue(isEvacuated("d"));
    answer(7, evacuation("d", false, 7), evacuation("e", true, 6));
    assertFalse(isEvacuated("d"));
    assertTrue(isEvacuated("e"));
  }

  @Test
  void evacuationStaysInForceDuringStoreOutageUntilCompleteReadLacksIt() {
    startWith(routes(3), evacuation("d", true, 4));
    for (int i = 0; i < 10; i++) {
      fail(new IOException("no answer"));
      timers.advanceMillis(2_000);
    }
    assertTrue(isEvacuated("d"));
    answer(20, routes(3));
    assertFalse(isEvacuated("d"));
  }

  // The pages of a read are no snapshot: the entry may have changed after the first of them.
  @Test
  void evacuationThatIsNewerThanCompleteReadStays() {
    startWith(routes(3));
    answer(9, evacuation("d", true, 9));
    fail(new HistoryLostException(ERA));
    answer(8, routes(3));
    assertTrue(isEvacuated("d"));
  }

  /** Ways in which a store may answer at once, whatever it is asked. */
  private enum Hasty {
    HISTORY_LOST {
      @Override
      void answer(Call c, int number) {
        if (c.after < 0) {
          c.answer.complete(new Batch(List.of(routes(3)), at(5)));
        } else {
          c.answer.completeExceptionally(new HistoryLostException(ERA));
        }
      }
    },
    HISTORY_LOST_AND_OTHER_REVISIONS {
      @Override
      void answer(Call c, int number) {
        if (c.after < 0) {
          c.answer.complete(new Batch(List.of(routes(3)), at(5 + number % 3)));
        } else {
          c.answer.completeExceptionally(new HistoryLostException(ERA));
        }
      }
    },
    NO_CHANGES {
      @Override
      void answer(Call c, int number) {
        List<PublishedItem> items = c.after < 0 ? List.of(routes(3)) : List.of();
        c.answer.complete(new Batch(items, at(5)));
      }
    },
    FALLING_REVISIONS {
      @Override
      void answer(Call c, int number) {
        c.answer.complete(new Batch(List.of(routes(3)), at(1_000_000 - number)));
      }
    },
    ANOTHER_ERA_EACH_TIME {
      @Override
      void answer(Call c, int number) {
        c.answer.complete(new Batch(List.of(routes(3)), new StorePosition(number, 5)));
      }
    },
    ERAS_BY_TURNS {
      @Override
      void answer(Call c, int number) {
        c.answer.complete(new Batch(List.of(routes(3)), new StorePosition(number % 2, 5)));
      }
    },
    REFUSALS {
      @Override
      void answer(Call c, int number) {
        c.answer.completeExceptionally(new StoreRefusedException("status 503", ERA));
      }
    };

    abstract void answer(Call c, int number);
  }

  @ParameterizedTest
  @EnumSource(Hasty.class)
  void noAnswerLeadsToCallsInQuickSuccession(Hasty store) {
    startWith(routes(3));
    int before = calls.size();
    long millis = 10_000;
    for (int i = 0; i < millis; i++) {
      if (!lastCall().answer.isDone()) {
        store.answer(lastCall(), calls.size());
      }
      feed.onPeerPosition(new StorePosition(ERA + 1, 7));
      timers.advanceMillis(1);
    }
    int made = calls.size() - before;
    long allowed = CallPacer.MAX_BURST + millis / CallPacer.MIN_INTERVAL.toMillis();
    assertTrue(made <= allowed, "calls in 10 s: " + made);
  }

  @Test
  void callsToUnreachableStoreBackOff() {
    startWith(routes(3));
    int before = calls.size();
    for (int i = 0; i < 600; i++) {
      if (!lastCall().answer.isDone()) {
        fail(new IOException("refused"));
      }
      timers.advanceMillis(10);
    }
    assertTrue(calls.size() - before < 20, "calls in 6 s: " + (calls.size() - before));
  }

  @Test
  void callsBackOffIfOnlyTheWatchFails() {
    startWith(routes(3));
    int before = calls.size();
    for (int i = 0; i < 600; i++) {
      if (!lastCall().answer.isDone() && lastCall().after >= 0) {
        fail(new IOException("refused"));
      } else if (!lastCall().answer.isDone()) {
        answer(5, routes(3));
      }
      timers.advanceMillis(10);
    }
    assertTrue(calls.size() - before < 40, "calls in 6 s: " + (calls.size() - before));
  }

  @Test
  void expiredEntryIsRemovedOnlyAfterReconnectGracePeriod() {
    startWith(routes(3), server("a"));
    fail(new IOException("reset"));
    timers.advanceMillis(2_000);
    fail(new IOException("no answer"));
    timers.advanceMillis(2_000);
    answer(30, routes(3));
    assertEquals(1, usableServers());
    timers.advanceMillis(GRACE_MILLIS);
    directory.expireUnconfirmed(timers.nanos());
    assertEquals(0, usableServers());
  }

  @Test
  void waitThatEndsInSilenceIsAnOutage() {
    startWith(routes(3), server("a"));
    timers.advanceMillis(lastCall().wait.toMillis() + 500);
    fail(new IOException("no answer"));
    assertEquals(-1, lastCall().after);
    answer(30, routes(3));
    assertEquals(1, usableServers());
  }

  // Guards against servers that have left and stay in use while waits for changes are cut.
  @Test
  void waitThatIsCutIsRenewedAtOnceAndIsNoOutage() {
    frequentReader = false;
    startWith(routes(3), server("a"));
    for (int i = 0; i < 5; i++) {
      int before = calls.size();
      timers.advanceMillis(1_000);
      fail(new IOException("connection closed"));
      assertEquals(before + 1, calls.size());
      assertEquals(5, lastCall().after);
    }
    answer(6, new PublishedItem.ServerRemoved("a"));
    assertEquals(0, usableServers());
  }

  @Test
  void completeListAfterCutsInQuickSuccessionIsBelieved() {
    startWith(routes(3), server("a"));
    timers.advanceMillis(100);
    fail(new IOException("connection closed"));
    timers.advanceMillis(200);
    assertEquals(-1, lastCall().after);
    answer(30, routes(3));
    assertEquals(0, usableServers());
  }

  @Test
  void changesInQuickSuccessionAreReadTogether() {
    startWith(routes(3));
    int before = calls.size();
    answer(6, server("a"));
    timers.advanceMillis(WATCH_MIN_INTERVAL_MILLIS - 1);
    assertEquals(before, calls.size());
    timers.advanceMillis(1);
    assertEquals(6, lastCall().after);
  }

  @Test
  void fewRoutersRenewTheirWaitOften() {
    startWith(routes(3));
    Duration frequent = lastCall().wait;
    frequentReader = false;
    answer(5);
    assertTrue(lastCall().wait.compareTo(frequent.multipliedBy(3)) > 0);
  }

  @Test
  void routerBehindItsPeersGivesUpDeadConnection() {
    frequentReader = false;
    startWith(routes(3), server("a"));
    final Call dead = lastCall();
    feed.onPeerPosition(at(9));
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    assertEquals(5, lastCall().after);
    answer(9, routes(4), new PublishedItem.ServerRemoved("a"));
    assertEquals(4, feed.routes().version());
    assertEquals(0, usableServers());
    int calls = this.calls.size();
    dead.answer.completeExceptionally(new IOException("no answer"));
    timers.advanceMillis(0);
    assertEquals(calls, this.calls.size());
  }

  @Test
  void peersAheadCauseAtMostOneCallInEachGracePeriod() {
    startWith(routes(3));
    int before = calls.size();
    for (int i = 0; i < 100; i++) {
      feed.onPeerPosition(at(9));
    }
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    assertEquals(before + 1, calls.size());
    for (int i = 0; i < 100; i++) {
      feed.onPeerPosition(at(9));
    }
    timers.advanceMillis(BEHIND_GRACE_MILLIS - 1);
    assertEquals(before + 1, calls.size());
  }

  // Guards against a large answer on a slow link that is thrown away each time it arrives.
  @Test
  void newerAnswerToSupersededCallIsUsed() {
    frequentReader = false;
    startWith(routes(3), server("a"));
    final Call slow = lastCall();
    int before = calls.size();
    for (int i = 0; i < 30; i++) {
      feed.onPeerPosition(at(9));
      timers.advanceMillis(100);
    }
    assertTrue(calls.size() - before <= 3, "calls in 3 s: " + (calls.size() - before));
    slow.answer.complete(new Batch(List.of(routes(4)), at(9)));
    timers.advanceMillis(0);
    assertEquals(4, feed.routes().version());
    answer(9, routes(4));
    timers.advanceMillis(WATCH_MIN_INTERVAL_MILLIS);
    assertEquals(9, lastCall().after);
  }

  @Test
  void olderAnswerToSupersededCallIsDiscarded() {
    startWith(routes(3), server("a"));
    final Call superseded = lastCall();
    feed.onPeerPosition(at(9));
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    answer(9, new PublishedItem.ServerRemoved("a"));
    superseded.answer.complete(new Batch(List.of(server("a")), at(7)));
    timers.advanceMillis(0);
    assertEquals(0, usableServers());
  }

  @Test
  void routerThatReceivesTheSameChangesSlightlyLaterMakesNoFurtherCall() {
    startWith(routes(3));
    feed.onPeerPosition(at(6));
    timers.advanceMillis(BEHIND_GRACE_MILLIS - 1);
    answer(6, routes(4));
    timers.advanceMillis(WATCH_MIN_INTERVAL_MILLIS);
    int before = calls.size();
    timers.advanceMillis(2_000);
    assertEquals(before, calls.size());
  }

  @Test
  void routerThatCannotReachTheStoreKeepsBackingOffWhilePeersReadOn() {
    frequentReader = false;
    startWith(routes(3));
    int before = calls.size();
    for (int i = 0; i < 900; i++) {
      feed.onPeerPosition(at(10 + i));
      if (!lastCall().answer.isDone()) {
        fail(new IOException("refused"));
      }
      timers.advanceMillis(10);
    }
    assertTrue(calls.size() - before < 14, "calls in 9 s: " + (calls.size() - before));
  }

  @Test
  void routerReportsTheRevisionOfTheLastChange() {
    startWith(routes(3));
    answer(8);
    assertEquals(5, feed.changePosition().revision());
    answer(9, routes(4));
    assertEquals(9, feed.changePosition().revision());
  }

  // Guards against a router that never reads again after a call threw in place of failing.
  @Test
  void callThatThrowsIsRetried() {
    throwing = true;
    feed.start();
    timers.advanceMillis(5_000);
    throwing = false;
    timers.advanceMillis(5_000);
    answer(5, routes(3));
    throwing = true;
    answer(6, routes(4));
    timers.advanceMillis(5_000);
    throwing = false;
    timers.advanceMillis(5_000);
    answer(9, routes(5));
    assertEquals(5, feed.routes().version());
    assertEquals(9, lastCall().after);
  }

  @Test
  void changeThatCannotBeAppliedIsReadAgain() {
    startWith(routes(3));
    onChange =
        () -> {
          throw new IllegalStateException("fault of a listener");
        };
    answer(6, routes(4));
    onChange = () -> {};
    timers.advanceMillis(5_000);
    assertEquals(-1, lastCall().after);
    answer(7, routes(5));
    assertEquals(7, lastCall().after);
  }

  @Test
  void feedWithoutRoutesIsNotInitialized() {
    startWith(server("a"));
    assertFalse(feed.isInitialized());
  }

  // Following the readers of the failure domain.

  private static final ReaderState IN_CONTACT = new ReaderState(0, -1, ERA);

  private void follow() {
    frequentReader = false;
    startWith(routes(3), server("a"));
    feed.onPeerReader(IN_CONTACT);
    answer(6, server("b"));
    timers.advanceMillis(WATCH_MIN_INTERVAL_MILLIS);
  }

  private static StoreChanges changes(long after, long revision, PublishedItem... items) {
    return new StoreChanges(at(after), at(revision), true, List.of(items));
  }

  @Test
  void readerPassesOnChangesOfServersAndNamesOthers() {
    startWith(routes(3));
    answer(7, server("a"), new PublishedItem.ServerRemoved("b"));
    timers.advanceMillis(WATCH_MIN_INTERVAL_MILLIS);
    answer(8, routes(4));
    assertEquals(
        List.of(
            changes(5, 7, server("a"), new PublishedItem.ServerRemoved("b")),
            new StoreChanges(at(7), at(8), false, List.of())),
        passedOn);
  }

  @Test
  void evacuationsArePassedOnAndFollowed() {
    startWith(routes(3));
    answer(7, evacuation("d", true, 7));
    assertEquals(List.of(changes(5, 7, evacuation("d", true, 7))), passedOn);
    frequentReader = false;
    int before = calls.size();
    feed.onPeerReader(IN_CONTACT);
    feed.onPeerChanges(changes(7, 8, evacuation("d", false, 8), evacuation("e", true, 8)));
    assertEquals(before, calls.size());
    assertFalse(isEvacuated("d"));
    assertTrue(isEvacuated("e"));
  }

  @Test
  void followerReadsNothingItselfWhileReadersAreInContact() {
    follow();
    int before = calls.size();
    for (int i = 0; i < 50; i++) {
      feed.onPeerReader(IN_CONTACT);
      feed.onPeerChanges(changes(6 + i, 7 + i, server("s" + i)));
      feed.onPeerPosition(at(7 + i));
      timers.advanceMillis(400);
    }
    assertEquals(before, calls.size());
    assertEquals(52, usableServers());
    assertTrue(passedOn.isEmpty());
  }

  // Guards against a router that is turned away by the store and deaf to what its peers read.
  @Test
  void changesThatPeersPassOnAreAppliedWhileCompleteReadIsDue() {
    startWith(routes(3), server("a"), server("b"));
    fail(new IOException("refused"));
    feed.onPeerChanges(changes(5, 6, new PublishedItem.ServerRemoved("a")));
    assertEquals(1, usableServers());
    timers.advanceMillis(200);
    fail(new IOException("refused"));
    feed.onPeerChanges(changes(6, 7, new PublishedItem.ServerRemoved("b")));
    assertEquals(0, usableServers());
  }

  // Guards against a router that stays out of contact long after the store answers again.
  @Test
  void changesThatPeersNameAreReadAtOnceAlsoWhileRetryIsDue() {
    frequentReader = false;
    startWith(routes(3), server("a"));
    feed.onPeerReader(IN_CONTACT);
    fail(new IOException("refused"));
    timers.advanceMillis(200);
    fail(new IOException("refused"));
    final int before = calls.size();
    feed.onPeerReader(IN_CONTACT);
    feed.onPeerChanges(new StoreChanges(at(5), at(6), false, List.of()));
    timers.advanceMillis(60);
    assertEquals(before + 1, calls.size());
  }

  @Test
  void followerWaitsForChangesItselfOnceTheReadersAreSilent() {
    follow();
    int before = calls.size();
    timers.advanceMillis(1_600);
    assertEquals(before + 1, calls.size());
    assertEquals(6, lastCall().after);
  }

  @Test
  void followerWaitsForChangesItselfOnceNoReaderIsInContact() {
    follow();
    int before = calls.size();
    for (int i = 0; i < 20; i++) {
      feed.onPeerReader(new ReaderState(i * 400L * Clock.NANOS_PER_MILLI, -1, ERA));
      timers.advanceMillis(400);
    }
    assertEquals(before + 1, calls.size());
  }

  @Test
  void followerReadsWhatWasLostOnTheWay() {
    follow();
    feed.onPeerChanges(changes(8, 9, server("d")));
    assertEquals(2, usableServers());
    feed.onPeerReader(IN_CONTACT);
    feed.onPeerPosition(at(9));
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    assertEquals(6, lastCall().after);
    answer(9, server("c"), server("d"));
    assertEquals(4, usableServers());
  }

  @Test
  void followerReadsAtOnceWhatIsNotPassedOn() {
    follow();
    final int before = calls.size();
    feed.onPeerReader(IN_CONTACT);
    feed.onPeerChanges(new StoreChanges(at(6), at(7), false, List.of()));
    timers.advanceMillis(100);
    assertEquals(before + 1, calls.size());
    answer(7, routes(4));
    assertEquals(4, feed.routes().version());
  }

  // Guards against a removed server that returns with an answer under way when it was removed.
  @Test
  void answerThatWasOvertakenByPassedOnChangesIsDiscarded() {
    frequentReader = false;
    startWith(routes(3));
    final Call pending = lastCall();
    feed.onPeerReader(IN_CONTACT);
    feed.onPeerChanges(changes(5, 6, server("a")));
    feed.onPeerChanges(changes(6, 7, new PublishedItem.ServerRemoved("a")));
    pending.answer.complete(new Batch(List.of(server("a")), at(6)));
    timers.advanceMillis(0);
    assertEquals(0, usableServers());
  }

  // Guards against changes that a complete list read meanwhile does not hold yet.
  @Test
  void changesPassedOnDuringCompleteReadAreNotLost() {
    frequentReader = false;
    startWith(routes(3));
    fail(new HistoryLostException(ERA));
    feed.onPeerReader(IN_CONTACT);
    feed.onPeerChanges(changes(5, 8, server("a")));
    answer(7, routes(3));
    feed.onPeerPosition(at(8));
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    assertEquals(7, lastCall().after);
    answer(8, server("a"));
    assertEquals(1, usableServers());
  }

  @Test
  void entriesThatExpiredInAnOutageOfTheReadersStayForTheGracePeriod() {
    follow();
    feed.onPeerReader(new ReaderState(0, 100 * Clock.NANOS_PER_MILLI, ERA));
    feed.onPeerChanges(changes(6, 7, new PublishedItem.ServerRemoved("a")));
    assertEquals(2, usableServers());
    timers.advanceMillis(GRACE_MILLIS);
    directory.expireUnconfirmed(timers.nanos());
    assertEquals(1, usableServers());
  }

  @Test
  void followerThatBecomesReaderWaitsForChangesItself() {
    follow();
    frequentReader = true;
    feed.onPeerReader(IN_CONTACT);
    timers.advanceMillis(500);
    assertEquals(6, lastCall().after);
    assertFalse(lastCall().answer.isDone());
    assertEquals(-1, feed.readerState().reconnectAgeNanos());
  }

  // Answers and messages of another era.

  private static final StorePosition RESTORED = new StorePosition(ERA + 1, 3);

  private static PublishedItem draining(String id) {
    return new PublishedItem.Server(
        new BackendServer(
            id,
            "service",
            new InetSocketAddress("127.0.0.1", 9),
            new FailureDomain("d"),
            6,
            true,
            1));
  }

  @Test
  void readersOfAnotherEraAreNotFollowed() {
    follow();
    assertTrue(feed.isFollowing());
    feed.onPeerReader(new ReaderState(0, -1, ERA + 1));
    assertFalse(feed.isFollowing());
    feed.onPeerReader(IN_CONTACT);
    assertFalse(feed.isFollowing());
  }

  @Test
  void changesOfAnotherEraAreNotApplied() {
    follow();
    feed.onPeerChanges(
        new StoreChanges(at(6), RESTORED, true, List.of(new PublishedItem.ServerRemoved("a"))));
    feed.onPeerChanges(
        new StoreChanges(
            new StorePosition(ERA + 1, 2),
            new StorePosition(ERA + 1, 9),
            true,
            List.of(new PublishedItem.ServerRemoved("a"))));
    assertEquals(2, usableServers());
  }

  @Test
  void changesThatAreAnsweredByAnotherEraLeadToCompleteRead() {
    startWith(routes(3), server("a"));
    lastCall()
        .answer
        .complete(
            new Batch(
                List.of(new PublishedItem.ServerRemoved("a")), new StorePosition(ERA + 1, 9)));
    timers.advanceMillis(0);
    assertEquals(1, usableServers());
    assertEquals(-1, lastCall().after);
  }

  @Test
  void completeReadOfEarlierEraIsIgnored() {
    startWith(routes(3), server("a"));
    fail(new HistoryLostException(ERA));
    lastCall().answer.complete(new Batch(List.of(routes(9)), new StorePosition(ERA - 1, 99)));
    timers.advanceMillis(1_000);
    assertEquals(3, feed.routes().version());
    assertEquals(1, usableServers());
    assertEquals(-1, lastCall().after);
  }

  @Test
  void lateAnswerOfAnotherEraIsIgnored() {
    startWith(routes(3), server("a"));
    final Call superseded = lastCall();
    feed.onPeerPosition(at(9));
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    superseded.answer.complete(new Batch(List.of(server("b")), new StorePosition(ERA + 1, 99)));
    timers.advanceMillis(0);
    assertEquals(1, usableServers());
  }

  @Test
  void laterEraOfPeerIsReadAtOnce() {
    startWith(routes(3), server("a"));
    feed.onPeerPosition(RESTORED);
    timers.advanceMillis(60);
    assertEquals(-1, lastCall().after);
    lastCall().answer.complete(new Batch(List.of(routes(4)), RESTORED));
    timers.advanceMillis(0);
    assertEquals(4, feed.routes().version());
    assertEquals(RESTORED, feed.changePosition());
    assertEquals(1, usableServers());
  }

  // Guards against servers that have drained and are used again because the revision fell.
  @Test
  void revisionThatFallsBringsNoDrainedServerBack() {
    startWith(routes(3), draining("a"));
    fail(new HistoryLostException(ERA));
    answer(3, routes(3), server("a"));
    assertEquals(0, usableServers());
    assertEquals(3, lastCall().after);
  }

  // Guards against a removal that is lost because a complete read from before it came late.
  @Test
  void completeReadIsNotSupersededByWaitForChanges() {
    startWith(routes(3), server("a"), server("b"));
    fail(new HistoryLostException(ERA));
    final Call complete = lastCall();
    feed.onPeerPosition(at(9));
    timers.advanceMillis(BEHIND_GRACE_MILLIS);
    assertEquals(complete, lastCall());
    answer(9, routes(3), server("a"));
    assertEquals(1, usableServers());
  }

  // Guards against an outage that is taken for waits that last because calls are paced.
  @Test
  void delayOfPacedCallDoesNotCountAsWait() {
    startWith(routes(3), server("a"));
    for (int i = 0; i < 2; i++) {
      fail(new HistoryLostException(ERA));
      timers.advanceMillis(i * CallPacer.MIN_INTERVAL.toMillis());
      answer(5, routes(3), server("a"));
    }
    for (int i = 0; i < 2_000; i++) {
      if (!lastCall().answer.isDone()) {
        fail(new IOException("refused"));
      }
      timers.advanceMillis(5);
    }
    assertEquals(-1, lastCall().after);
    assertEquals(null, feed.readerState());
  }
}
