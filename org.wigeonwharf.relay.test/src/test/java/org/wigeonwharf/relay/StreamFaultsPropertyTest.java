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

class StreamFaultsPropertyTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  /** What may go wrong between events. */
  enum Fault {
    CRASH,
    CUT,
    PREEMPT,
    REFUSE,
    ACCEPT
  }

  @Property(tries = 20, seed = "4711", shrinking = ShrinkingMode.OFF)
  void eachCallerGetsItsWholeAnswerOrPrefixWithVisibleError(
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
    InetSocketAddress[] at =
        engines.stream().map(EngineStandIn::address).toArray(InetSocketAddress[]::new);
    try (RelayBench bench = new RelayBench(RelayBench.PATIENT, at)) {
      List<CompletableFuture<RelayBench.Answer>> answers = new ArrayList<>();
      for (int length : lengths) {
        answers.add(CompletableFuture.supplyAsync(() -> stream(bench, length)));
      }
      for (int i = 0; i < faults.size(); i++) {
        Thread.sleep(5);
        strike(faults.get(i), bench, engines.get(i % servers));
      }
      for (int i = 0; i < answers.size(); i++) {
        check(answers.get(i).get(), lengths.get(i));
      }
      RelayBench.await(bench.slots::eachEndedOnce);
    } finally {
      engines.forEach(EngineStandIn::stop);
    }
  }

  private static RelayBench.Answer stream(RelayBench bench, int tokens) {
    String body = "{\"stream\":true,\"max_tokens\":" + tokens + "}";
    try {
      return bench.call(RelayBench.post("/v1/chat/completions", body, ""));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void strike(Fault fault, RelayBench bench, EngineStandIn engine) {
    switch (fault) {
      case CRASH -> engine.crash();
      case CUT -> engine.dropConnections();
      case PREEMPT -> bench.slots.preemptAll();
      case REFUSE -> engine.setRefusing(true);
      case ACCEPT -> engine.setRefusing(false);
      default -> throw new AssertionError(fault);
    }
  }

  private static void check(RelayBench.Answer a, int tokens) {
    if (a.status() != 200) {
      assertTrue(List.of("not-run", "may-have-run").contains(a.verdict()), a.head());
      return;
    }
    assertTrue(StreamCheck.runs(a.body()) <= 1, () -> "spliced: " + a.body());
    assertTrue(StreamCheck.isPrefix(a.body(), tokens), a.body());
    assertTrue(!a.clean() || StreamCheck.isWhole(a.body(), tokens), a.body());
  }
}
