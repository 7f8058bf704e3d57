package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.wigeonwharf.standin.EngineStandIn;

/**
 * Guards against streams that are incomplete without an error or spliced from two runs, and against
 * leases that are not ended. This may come about if engines crash, lose connections or refuse
 * requests, or if streams are preempted, between any two events.
 */
class StreamFaultsPropertyTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  /** The faults injected between events. */
  enum Fault {
    CRASH,
    CUT,
    PREEMPT,
    REFUSE,
    ACCEPT
  }

  @Property(tries = 20, seed = "4711", shrinking = ShrinkingMode.OFF)
  void eachResponseIsCompleteOrVisiblyTruncated(
      @ForAll @Size(min = 1, max = 10) List<@IntRange(min = 1, max = 60) Integer> lengths,
      @ForAll @IntRange(min = 1, max = 3) int servers,
      @ForAll @Size(max = 12) List<Fault> faults)
      throws Exception {
    List<EngineStandIn> engines = new ArrayList<>();
    for (int i = 0; i < servers; i++) {
      EngineStandIn e = new EngineStandIn(ANY, 3, 1);
      e.start();
      engines.add(e);
    }
    InetSocketAddress[] addresses =
        engines.stream().map(EngineStandIn::address).toArray(InetSocketAddress[]::new);
    try (RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, addresses)) {
      List<CompletableFuture<RelayFixture.Response>> responses = new ArrayList<>();
      for (int length : lengths) {
        responses.add(CompletableFuture.supplyAsync(() -> stream(fixture, length)));
      }
      for (int i = 0; i < faults.size(); i++) {
        Thread.sleep(5);
        inject(faults.get(i), fixture, engines.get(i % servers));
      }
      for (int i = 0; i < responses.size(); i++) {
        assertCompleteOrVisiblyTruncated(responses.get(i).get(), lengths.get(i));
      }
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
    } finally {
      engines.forEach(EngineStandIn::stop);
    }
  }

  private static RelayFixture.Response stream(RelayFixture fixture, int tokens) {
    String body = "{\"stream\":true,\"max_tokens\":" + tokens + "}";
    try {
      return fixture.call(RelayFixture.postRequest("/v1/chat/completions", body, ""));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void inject(Fault fault, RelayFixture fixture, EngineStandIn engine) {
    switch (fault) {
      case CRASH -> engine.crash();
      case CUT -> engine.dropConnections();
      case PREEMPT -> fixture.slots.preemptAll();
      case REFUSE -> engine.setRefusing(true);
      case ACCEPT -> engine.setRefusing(false);
      default -> throw new AssertionError(fault);
    }
  }

  private static void assertCompleteOrVisiblyTruncated(RelayFixture.Response response, int tokens) {
    if (response.status() != 200) {
      assertTrue(List.of("not-run", "may-have-run").contains(response.verdict()), response.head());
      return;
    }
    assertTrue(StreamVerifier.countRuns(response.body()) <= 1, () -> "spliced: " + response.body());
    assertTrue(StreamVerifier.isPrefix(response.body(), tokens), response.body());
    assertTrue(
        !response.complete() || StreamVerifier.isComplete(response.body(), tokens),
        response.body());
  }
}
