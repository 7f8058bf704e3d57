package org.wigeonwharf.gateway.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.http.VirtualTimers;
import org.wigeonwharf.gateway.stream.Resolution.Source;
import org.wigeonwharf.model.Clock;

/** Guards against a software version that is taken for a stream's although another may be. */
class ResumptionResolverTest {
  private static final long UNIX_MILLIS = 1_700_000_000_000L;
  private static final long STREAM_MILLIS = 20_000;
  private static final long ARRIVED_AT = 42;

  private final VirtualTimers timers = new VirtualTimers();
  private final ServerDirectory directory = new ServerDirectory(0);
  private final VersionHistory history = new VersionHistory(timers);
  private final StreamOrigins origins = new StreamOrigins();
  private boolean listComplete = true;
  private int checksRequested;
  private int removalsNeeded;
  private final ResumptionResolver resolver =
      new ResumptionResolver(
          origins,
          history,
          new ServerListCheck() {
            @Override
            public boolean isCompleteUntil(long time) {
              assertEquals(ARRIVED_AT, time);
              return listComplete;
            }

            @Override
            public void request(long time) {
              assertEquals(ARRIVED_AT, time);
              checksRequested++;
            }
          },
          () -> removalsNeeded++,
          timers,
          () -> Instant.ofEpochMilli(unixMillis()));

  ResumptionResolverTest() {
    directory.addListener(history);
  }

  private long unixMillis() {
    return UNIX_MILLIS + timers.nanos() / Clock.NANOS_PER_MILLI;
  }

  private void addServer(String id, String version) {
    directory.put(VersionHistoryTest.server(id, version, unixMillis()));
  }

  private void learnRemovals(BackendServer... removed) {
    history.recordRemoved(List.of(removed), (STREAM_MILLIS + 1) * Clock.NANOS_PER_MILLI);
  }

  private void assertResolved(Source source, @Nullable String version) {
    assertResolved(null, source, version);
  }

  private void assertResolved(@Nullable String id, Source source, @Nullable String version) {
    StreamResumption t =
        new StreamResumption("service", id, STREAM_MILLIS * Clock.NANOS_PER_MILLI, ARRIVED_AT);
    assertEquals(new Resolution(source, version), resolver.resolve(t));
  }

  @Test
  void rememberedStreamContinuesAtItsVersion() {
    history.startWatching();
    addServer("a", "v1");
    addServer("b", "v2");
    origins.record("r1", "service", "v1", timers.nanos());
    assertResolved("r1", Source.MEMORY, "v1");
    assertResolved("r2", Source.SEVERAL_VERSIONS, null);
  }

  @Test
  void streamOfAnotherServiceContinuesAtAnyVersionOnce() {
    history.startWatching();
    addServer("a", "v1");
    addServer("b", "v2");
    origins.record("r1", "other", "v1", timers.nanos());
    assertResolved("r1", Source.OTHER_SERVICE, null);
    origins.record("r1", "service", "v2", timers.nanos());
    assertResolved("r1", Source.MEMORY, "v2");
    assertEquals("v1", origins.find("r1", "other", timers.nanos()));
  }

  @Test
  void onlyVersionThatServedSinceTheStreamCanHaveBegunIsTaken() {
    history.startWatching();
    addServer("a", "v1");
    timers.advanceMillis(STREAM_MILLIS + 1);
    assertResolved(Source.HISTORY, "v1");
    addServer("b", "v2");
    assertResolved(Source.SEVERAL_VERSIONS, null);
    directory.withdraw("a", timers.nanos());
    timers.advanceMillis(VersionHistory.SERVES_AFTER_REMOVAL_MILLIS + STREAM_MILLIS);
    assertResolved(Source.SEVERAL_VERSIONS, null);
    timers.advanceMillis(1);
    assertResolved(Source.HISTORY, "v2");
  }

  @Test
  void versionOfServersThatMayHaveReplacedOthersBeforeTheStartIsUnknown() {
    addServer("a", "v1");
    timers.advanceMillis(STREAM_MILLIS);
    history.startWatching();
    assertResolved(Source.INCOMPLETE_HISTORY, null);
    timers.advanceMillis(ResumptionResolver.MAX_CLOCK_DIFFERENCE_MILLIS);
    history.startWatching();
    learnRemovals();
    assertResolved(Source.INCOMPLETE_HISTORY, null);
    timers.advanceMillis(1);
    assertResolved(Source.HISTORY, "v1");
  }

  // Guards against start times that are believed though servers of another version have left.
  @Test
  void serversThatLeftBeforeTheStartAreAskedForAndCount() {
    directory.put(VersionHistoryTest.server("a", "v1", 1));
    history.startWatching();
    assertResolved(Source.INCOMPLETE_HISTORY, null);
    assertEquals(1, removalsNeeded);
    history.recordRemoved(List.of(), (STREAM_MILLIS - 1) * Clock.NANOS_PER_MILLI);
    assertResolved(Source.INCOMPLETE_HISTORY, null);
    learnRemovals();
    assertResolved(Source.HISTORY, "v1");
    learnRemovals(VersionHistoryTest.server("b", "v1", 1));
    assertResolved(Source.HISTORY, "v1");
    learnRemovals(VersionHistoryTest.server("c", "v2", 1));
    assertResolved(Source.SEVERAL_VERSIONS, null);
    assertEquals(2, removalsNeeded);
  }

  @Test
  void serverWithoutStartTimeProvesNothing() {
    directory.put(VersionHistoryTest.server("a", "v1", 0));
    history.startWatching();
    learnRemovals();
    assertResolved(Source.INCOMPLETE_HISTORY, null);
  }

  @Test
  void nothingIsConcludedBeforeAllServersAreRead() {
    directory.put(VersionHistoryTest.server("a", "v1", 1));
    assertResolved(Source.INCOMPLETE_HISTORY, null);
    history.startWatching();
    learnRemovals();
    assertResolved(Source.HISTORY, "v1");
  }

  // Guards against a version that others have read and this router, out of step, has not.
  @Test
  void nothingIsConcludedUntilAllServersOfTheMomentAreKnown() {
    directory.put(VersionHistoryTest.server("a", "v1", 1));
    history.startWatching();
    learnRemovals();
    listComplete = false;
    assertResolved(Source.UNCONFIRMED, null);
    assertEquals(1, checksRequested);
    origins.record("r1", "service", "v1", timers.nanos());
    assertResolved("r1", Source.MEMORY, "v1");
    assertEquals(1, checksRequested);
    listComplete = true;
    assertResolved(Source.HISTORY, "v1");
    assertEquals(1, checksRequested);
  }

  // Guards against a version that is forgotten before the streams that it can have begun.
  @Test
  void streamThatMayBeOlderThanTheHistoryIsUnknown() {
    history.startWatching();
    directory.put(VersionHistoryTest.server("a", "v1", 1));
    timers.advanceMillis(2 * VersionHistory.MAX_AGE_MILLIS);
    for (long ageMillis :
        List.of(VersionHistory.MAX_AGE_MILLIS, VersionHistory.MAX_AGE_MILLIS + 1)) {
      StreamResumption t =
          new StreamResumption("service", null, ageMillis * Clock.NANOS_PER_MILLI, ARRIVED_AT);
      assertEquals(ageMillis == VersionHistory.MAX_AGE_MILLIS, resolver.resolve(t).isKnown());
    }
  }

  @Test
  void unpublishedVersionIsVersionOfItsOwn() {
    directory.put(VersionHistoryTest.server("a", "", 1));
    history.startWatching();
    learnRemovals();
    assertResolved(Source.HISTORY, "");
    directory.put(VersionHistoryTest.server("b", "v1", 1));
    assertResolved(Source.SEVERAL_VERSIONS, null);
  }
}
