package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.feed.Batch;
import org.wigeonwharf.gateway.feed.HistoryLostException;
import org.wigeonwharf.gateway.feed.PublishedItem;
import org.wigeonwharf.gateway.feed.StoreRefusedException;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.FailureDomain;

/** Checks paging, watching, and the decoding of invalid items and error answers of the store. */
class HttpPublishedStoreTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final InetSocketAddress SERVER = new InetSocketAddress("127.0.0.1", 9);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private StoreStandIn standIn;
  private HttpPublishedStore store;

  @BeforeEach
  void start() throws IOException {
    standIn = new StoreStandIn();
    store =
        new HttpPublishedStore(
            new PlatformClient(loops, standIn.address()), new NumberReader(new MetricRegistry()));
  }

  @AfterEach
  void stop() {
    standIn.close();
    loops.shutdownGracefully();
  }

  private Batch readAll() throws Exception {
    return store.readAll(TIMEOUT).get();
  }

  private Batch awaitChanges(long revision) throws Exception {
    return store.awaitChanges(revision, Duration.ofSeconds(10), TIMEOUT).get();
  }

  @Test
  void readsAllPagesAndLaterChanges() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    for (int i = 0; i < 5; i++) {
      standIn.putServer("i-" + i, "s1", SERVER, "ready");
    }
    Batch all = readAll();
    assertEquals(6, all.items().size());
    standIn.delete("servers/i-3");
    Batch changes = awaitChanges(all.position().revision());
    assertEquals(new PublishedItem.ServerRemoved("i-3"), changes.items().get(0));
    assertTrue(changes.position().revision() > all.position().revision());
  }

  @Test
  void earlierChangesOfServersAreReadAsTheyWereWritten() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    StorePosition first = readAll().position();
    standIn.putServer("i-1", "s1", SERVER, "ready");
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    standIn.delete("servers/i-1");
    Batch changes = store.readServerChanges(first.revision(), TIMEOUT).get();
    assertEquals(2, changes.items().size());
    assertEquals("v1", ((PublishedItem.Server) changes.items().get(0)).server().softwareVersion());
    assertEquals(new PublishedItem.ServerRemoved("i-1"), changes.items().get(1));
    assertEquals(first.revision() + 3, changes.position().revision());
    standIn.dropHistory();
    refusal(() -> store.readServerChanges(first.revision(), TIMEOUT).get());
  }

  @Test
  void positionIsThatOfTheLastChange() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    assertEquals(readAll().position(), store.readPosition(TIMEOUT).get());
    standIn.delete("op/config");
    assertEquals(readAll().position(), store.readPosition(TIMEOUT).get());
  }

  @Test
  void invalidItemsAreUnusableAndOtherKeysAreIgnored() throws Exception {
    standIn.putBytes("servers/i-1", new byte[] {0, 1, 2});
    standIn.put("servers/i-2", "{}");
    standIn.put("op/config", "{\"version\":");
    standIn.put("somewhere/else", "text");
    Stream<PublishedItem> items = readAll().items().stream();
    assertEquals(3, items.filter(p -> p instanceof PublishedItem.Unusable).count());
  }

  @Test
  void evacuationsAreReadWithTheirRevision() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    standIn.put("op/evacuate/z-1", "{}");
    standIn.putBytes("op/evacuate/z 2", new byte[] {0, 1, 2});
    standIn.put("op/evacuate/", "{}");
    Batch all = readAll();
    assertTrue(
        all.items()
            .contains(
                evacuation("z-1", true, new StorePosition(1, all.position().revision() - 2))));
    assertTrue(
        all.items()
            .contains(
                evacuation("z 2", true, new StorePosition(1, all.position().revision() - 1))));
    assertEquals(1, all.items().stream().filter(p -> p instanceof PublishedItem.Unusable).count());
    standIn.delete("op/evacuate/z-1");
    Batch changes = awaitChanges(all.position().revision());
    assertEquals(List.of(evacuation("z-1", false, changes.position())), changes.items());
  }

  private static PublishedItem evacuation(String domain, boolean active, StorePosition position) {
    return new PublishedItem.EvacuationChange(
        new Evacuation(new FailureDomain(domain), active, position));
  }

  @Test
  void eraOfEachAnswerIsRead() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    StoreStandIn.Copy copy = standIn.copy();
    standIn.putServer("i-1", "s1", SERVER, "ready");
    StorePosition before = readAll().position();
    assertEquals(1, before.era());
    standIn.restore(copy);
    assertEquals(2, refusal(() -> awaitChanges(before.revision())).era());
    StorePosition after = readAll().position();
    assertTrue(after.isAfter(before) && after.revision() < before.revision(), after.toString());
    standIn.failWith(503);
    standIn.restore(copy);
    assertEquals(3, refusal(() -> readAll()).era());
  }

  @Test
  void answerWithoutEraBelongsToTheEraKnownSoFar() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    standIn.nameOtherEra("");
    assertEquals(0, readAll().position().era());
    standIn.nameOtherEra(null);
    assertEquals(1, readAll().position().era());
    for (String unreadable : List.of("", "two", "-3", "1x", " ")) {
      standIn.nameOtherEra(unreadable);
      assertEquals(1, readAll().position().era(), unreadable);
    }
    standIn.nameOtherEra("4000000000000");
    assertEquals(4_000_000_000_000L, readAll().position().era());
  }

  // Guards against a list of which some items are from before and others from after a restore.
  @Test
  void pagesOfTwoErasAreNoCompleteRead() throws Exception {
    standIn.put("op/config", ConfigurationDecoderTest.VALID);
    for (int i = 0; i < 5; i++) {
      standIn.putServer("i-" + i, "s1", SERVER, "ready");
    }
    StoreStandIn.Copy copy = standIn.copy();
    standIn.afterNextPage(() -> standIn.restore(copy));
    assertEquals(2, refusal(() -> readAll()).era());
    assertEquals(6, readAll().items().size());
  }

  private static StoreRefusedException refusal(Executable call) {
    Exception e = assertThrows(ExecutionException.class, call);
    return assertInstanceOf(StoreRefusedException.class, e.getCause());
  }

  @Test
  void lostHistoryIsDistinguishedFromOtherFailures() {
    standIn.dropHistory();
    Exception e = assertThrows(ExecutionException.class, () -> awaitChanges(10));
    assertInstanceOf(HistoryLostException.class, e.getCause());
    standIn.failWith(503);
    e = assertThrows(ExecutionException.class, () -> readAll());
    assertInstanceOf(IOException.class, e.getCause());
  }

  @Test
  void unreachableStoreFailsTheCall() {
    standIn.close();
    Exception e = assertThrows(ExecutionException.class, () -> readAll());
    assertInstanceOf(IOException.class, e.getCause());
  }
}
