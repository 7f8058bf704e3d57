package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.standin.EngineStandIn;

class WholeAnswerTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  private static final long TOKEN_MILLIS = 2;

  private static RelayBench.Answer answer(String raw) throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.readBody(15);
                  p.write(raw);
                  p.closeCleanly();
                });
        RelayBench bench = new RelayBench(backend.address())) {
      RelayBench.Answer a = bench.call(RelayBench.chat(""));
      RelayBench.await(bench.slots::eachEndedOnce);
      return a;
    }
  }

  @Test
  void truncatedBodyIsNoCleanEnd() throws Exception {
    RelayBench.Answer a = answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    assertEquals("half", a.body());
    assertFalse(a.clean());
  }

  @Test
  void streamWithoutItsTerminatorIsNoCleanEnd() throws Exception {
    RelayBench.Answer a =
        answer(STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n7\r\ndata: a\r\n0\r\n\r\n");
    assertEquals("data: a", a.body());
    assertFalse(a.clean());
  }

  @Test
  void answerThatEndsWithItsConnectionIsWholeOnlyWithTerminator() throws Exception {
    RelayBench.Answer json = answer("HTTP/1.1 200 OK\r\n\r\n{}");
    assertEquals(502, json.status());
    assertEquals("may-have-run", json.verdict());
    assertFalse(answer(STREAM_HEAD + "\r\ndata: a\n\n").clean());
    RelayBench.Answer whole = answer(STREAM_HEAD + "\r\ndata: a\n\ndata: [DONE]\n\n");
    assertTrue(whole.clean());
    assertEquals("data: a\n\ndata: [DONE]\n\n", whole.body());
  }

  /** Streams from two engines while a fault strikes after the first event. */
  private static RelayBench.Answer streamed(Fault fault, List<LeaseEnd> ends) throws Exception {
    EngineStandIn a = new EngineStandIn(ANY, 2, TOKEN_MILLIS);
    EngineStandIn b = new EngineStandIn(ANY, 2, TOKEN_MILLIS);
    a.start();
    b.start();
    try (RelayBench bench = new RelayBench(RelayBench.PATIENT, a.address(), b.address());
        Socket s = bench.connect()) {
      String body = "{\"stream\":true,\"max_tokens\":200}";
      s.getOutputStream()
          .write(
              RelayBench.post("/v1/chat/completions", body, "")
                  .getBytes(StandardCharsets.US_ASCII));
      CompletableFuture<RelayBench.Answer> answer =
          CompletableFuture.supplyAsync(() -> AnswerReader.readFrom(s));
      RelayBench.await(() -> bench.metrics.timer("relay.first-byte.crew").getCount() == 1);
      fault.strike(bench, a);
      final RelayBench.Answer r = answer.get();
      RelayBench.await(bench.slots::eachEndedOnce);
      ends.addAll(bench.slots.ends());
      assertEquals(1, a.started() + b.started(), "one run");
      assertEquals(1, StreamCheck.runs(r.body()));
      return r;
    } finally {
      a.stop();
      b.stop();
    }
  }

  private interface Fault {
    void strike(RelayBench bench, EngineStandIn serving);
  }

  @Test
  void streamGoesOnAtItsOffsetOnAnotherEngineAfterBrokenConnection() throws Exception {
    List<LeaseEnd> ends = new ArrayList<>();
    RelayBench.Answer r = streamed((bench, engine) -> engine.dropConnections(), ends);
    assertTrue(r.clean());
    assertTrue(StreamCheck.isWhole(r.body(), 200), r.body());
    assertEquals(List.of(LeaseEnd.FAILED, LeaseEnd.FINISHED), ends);
  }

  @Test
  void preemptedStreamGoesOnAtItsOffset() throws Exception {
    List<LeaseEnd> ends = new ArrayList<>();
    RelayBench.Answer r = streamed((bench, engine) -> bench.slots.preemptAll(), ends);
    assertTrue(r.clean());
    assertTrue(StreamCheck.isWhole(r.body(), 200), r.body());
    assertEquals(List.of(LeaseEnd.CANCELLED, LeaseEnd.FINISHED), ends);
  }

  @Test
  void streamOfCrashedEngineEndsVisiblyCut() throws Exception {
    RelayBench.Answer r = streamed((bench, engine) -> engine.crash(), new ArrayList<>());
    assertFalse(r.clean());
    assertTrue(StreamCheck.isPrefix(r.body(), 200), r.body());
  }

  @Test
  void leavingCallerCancelsTheStreamAndItsWasteIsCounted() throws Exception {
    EngineStandIn engine = new EngineStandIn(ANY, 2, TOKEN_MILLIS);
    engine.start();
    try (RelayBench bench = new RelayBench(RelayBench.PATIENT, engine.address())) {
      try (Socket s = bench.connect()) {
        String body = "{\"stream\":true,\"max_tokens\":1000000}";
        s.getOutputStream()
            .write(
                RelayBench.post("/v1/chat/completions", body, "")
                    .getBytes(StandardCharsets.US_ASCII));
        RelayBench.await(() -> bench.metrics.timer("relay.first-byte.crew").getCount() == 1);
      }
      RelayBench.await(bench.slots::eachEndedOnce);
      assertEquals(List.of(LeaseEnd.CANCELLED), bench.slots.ends());
      RelayBench.await(engine::isIdle);
      assertTrue(bench.metrics.counter("relay.tokens.wasted").getCount() > 0);
    } finally {
      engine.stop();
    }
  }

  @Test
  void slowCallerHoldsBackItsOwnStreamAndNoMemoryPilesUp() throws Exception {
    AtomicLong written = new AtomicLong();
    String block = "x".repeat(8_192);
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write("HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n");
                  while (written.addAndGet(block.length()) > 0) {
                    p.write(block);
                  }
                });
        RelayBench bench = new RelayBench(backend.address());
        Socket s = bench.connect()) {
      s.getOutputStream().write(RelayBench.chat("").getBytes(StandardCharsets.US_ASCII));
      RelayBench.await(() -> bench.slots.ends().equals(List.of(LeaseEnd.CANCELLED)));
      assertTrue(written.get() < 64_000_000, "the backend server wrote " + written.get());
    }
  }
}
