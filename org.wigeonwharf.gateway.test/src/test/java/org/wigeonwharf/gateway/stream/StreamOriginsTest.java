package org.wigeonwharf.gateway.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;

/** Guards against origins that expire too early, grow without bound or are sent needlessly. */
class StreamOriginsTest {
  private static final int MAX_CHARS = 10_000;

  private final StreamOrigins origins = new StreamOrigins();
  private long now = Clock.NANOS_PER_SECOND;

  private void advanceMillis(long millis) {
    now += millis * Clock.NANOS_PER_MILLI;
  }

  private void record(String id) {
    origins.record(id, "service", "v1", now);
  }

  private @Nullable String find(String id) {
    return origins.find(id, "service", now);
  }

  private static List<String> ids(List<StreamOrigin> origins) {
    return origins.stream().map(StreamOrigin::requestId).toList();
  }

  private List<String> toDomain() {
    return ids(origins.nextForDomain(MAX_CHARS, now));
  }

  private List<String> toOtherDomains() {
    return ids(origins.nextForOtherDomains(MAX_CHARS, now));
  }

  @Test
  void streamIsKeptForSomeTimeAfterItWasLastTakenUp() {
    record("a");
    advanceMillis(StreamOrigins.MAX_AGE_MILLIS);
    assertEquals("v1", find("a"));
    record("a");
    advanceMillis(StreamOrigins.MAX_AGE_MILLIS);
    assertEquals("v1", find("a"));
    advanceMillis(1);
    assertNull(find("a"));
    assertEquals(0, origins.size(now));
  }

  @Test
  void numberOfStreamsAndLengthOfIdsAreBounded() {
    for (int i = 0; i <= StreamOrigins.MAX_STREAMS; i++) {
      record("r" + i);
    }
    assertEquals(StreamOrigins.MAX_STREAMS, origins.size(now));
    assertNull(find("r0"));
    assertEquals("v1", find("r1"));
    String id = "x".repeat(StreamOrigins.MAX_ID_LENGTH);
    record(id);
    record(id + "x");
    assertEquals("v1", find(id));
    assertNull(find(id + "x"));
  }

  @Test
  void streamsAreAdvertisedInTwoMessages() {
    record("a");
    assertEquals(List.of("a"), toDomain());
    record("b");
    assertEquals(List.of("b", "a"), toDomain());
    assertEquals(List.of("b"), toDomain());
    assertTrue(toDomain().isEmpty());
    assertEquals(List.of("b", "a"), toOtherDomains());
  }

  @Test
  void messagesAreBoundedAndTheRestFollows() {
    for (int i = 0; i < 1_000; i++) {
      record("r" + i);
    }
    assertEquals(400, origins.nextForDomain(Integer.MAX_VALUE, now).size());
    assertEquals(10, origins.nextForDomain(40, now).size());
    int advertised = 410;
    for (int n = toDomain().size(); n > 0; n = toDomain().size()) {
      advertised += n;
    }
    assertEquals(2_000, advertised);
  }

  @Test
  void routerThatStartsLearnsOfStreamsThatBeganLately() {
    record("a");
    advanceMillis(20_000);
    record("b");
    assertEquals(List.of("a", "b"), ids(origins.latest(true, 10, now)));
    advanceMillis(20_000);
    assertEquals(List.of("b"), ids(origins.latest(true, 10, now)));
  }

  // Guards against old streams that cross between failure domains whenever a router starts.
  @Test
  void earlierStreamsOfPeersAreKeptButNotForwarded() {
    long age = 2 * Clock.NANOS_PER_SECOND;
    origins.merge(List.of(new StreamOrigin("a", "service", "v1", age)), true, now);
    assertEquals("v1", find("a"));
    assertTrue(toOtherDomains().isEmpty());
  }

  @Test
  void streamsOfPeersOfTheFailureDomainAreAdvertisedToOtherDomains() {
    origins.merge(List.of(new StreamOrigin("a", "service", "v2", 0)), true, now);
    origins.merge(List.of(new StreamOrigin("b", "service", "v2", 0)), false, now);
    assertEquals("v2", find("a"));
    assertEquals("v2", find("b"));
    assertTrue(toDomain().isEmpty());
    assertEquals(List.of("a"), toOtherDomains());
    assertTrue(origins.latest(true, 10, now).isEmpty());
    assertEquals(List.of("a", "b"), ids(origins.latest(false, 10, now)));
    assertEquals(List.of("b"), ids(origins.latest(false, 1, now)));
  }

  @Test
  void ageOfAdvertisedStreamsGoesOn() {
    long age = 30 * Clock.NANOS_PER_SECOND;
    origins.merge(List.of(new StreamOrigin("a", "service", "v2", age)), false, now);
    origins.merge(List.of(new StreamOrigin("b", "service", "v2", 3 * age)), false, now);
    assertNull(find("b"));
    advanceMillis(31_000);
    assertNull(find("a"));
  }

  @Test
  void streamThatPeerNamesTwiceIsAdvertisedToOtherDomainsInTwoMessages() {
    StreamOrigin a = new StreamOrigin("a", "service", "v2", 0);
    origins.merge(List.of(a), true, now);
    origins.merge(List.of(a), true, now);
    assertEquals(1, origins.nextForOtherDomains(1_000, now).size());
    origins.merge(List.of(a), true, now);
    assertEquals(1, origins.nextForOtherDomains(1_000, now).size());
    assertEquals(List.of(), origins.nextForOtherDomains(1_000, now));
  }

  // Guards against a delay that grows while more streams begin than messages can carry.
  @Test
  void newestStreamsAreAdvertisedFirst() {
    for (int i = 0; i < 100; i++) {
      record("s" + i);
    }
    assertEquals("s99", origins.nextForDomain(30, now).get(0).requestId());
    record("last");
    assertEquals("last", origins.nextForDomain(30, now).get(0).requestId());
  }
}
