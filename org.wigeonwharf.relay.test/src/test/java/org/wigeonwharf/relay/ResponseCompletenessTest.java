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

/**
 * Guards against truncated responses that look complete to the caller. This happens if a backend
 * server's connection is lost and the framing or the stream's terminator is not checked.
 */
class ResponseCompletenessTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  private static final long TOKEN_MILLIS = 2;

  private static RelayFixture.Response relayRaw(String raw) throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.readBody(15);
                  p.write(raw);
                  p.closeCleanly();
                });
        RelayFixture fixture = new RelayFixture(backend.address())) {
      RelayFixture.Response response = fixture.call(RelayFixture.chatRequest(""));
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
      return response;
    }
  }

  @Test
  void truncatedBodyIsIncomplete() throws Exception {
    RelayFixture.Response response = relayRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    assertEquals("half", response.body());
    assertFalse(response.complete());
  }

  @Test
  void streamWithoutTerminatorIsIncomplete() throws Exception {
    RelayFixture.Response response =
        relayRaw(STREAM_HEAD + "Transfer-Encoding: chunked\r\n\r\n7\r\ndata: a\r\n0\r\n\r\n");
    assertEquals("data: a", response.body());
    assertFalse(response.complete());
  }

  @Test
  void closeDelimitedResponseIsCompleteOnlyWithTerminator() throws Exception {
    RelayFixture.Response json = relayRaw("HTTP/1.1 200 OK\r\n\r\n{}");
    assertEquals(502, json.status());
    assertEquals("may-have-run", json.verdict());
    assertFalse(relayRaw(STREAM_HEAD + "\r\ndata: a\n\n").complete());
    RelayFixture.Response whole = relayRaw(STREAM_HEAD + "\r\ndata: a\n\ndata: [DONE]\n\n");
    assertTrue(whole.complete());
    assertEquals("data: a\n\ndata: [DONE]\n\n", whole.body());
  }

  /** Relays a stream with two engines and injects a fault after the first event. */
  private static RelayFixture.Response streamWithFault(Fault fault, List<LeaseEnd> ends)
      throws Exception {
    EngineStandIn a = new EngineStandIn(ANY, 2, TOKEN_MILLIS);
    EngineStandIn b = new EngineStandIn(ANY, 2, TOKEN_MILLIS);
    a.start();
    b.start();
    try (RelayFixture fixture =
            new RelayFixture(RelayFixture.LONG_LIMITS, a.address(), b.address());
        Socket s = fixture.connect()) {
      String body = "{\"stream\":true,\"max_tokens\":200}";
      s.getOutputStream()
          .write(
              RelayFixture.postRequest("/v1/chat/completions", body, "")
                  .getBytes(StandardCharsets.US_ASCII));
      CompletableFuture<RelayFixture.Response> pending =
          CompletableFuture.supplyAsync(() -> ResponseReader.readFrom(s));
      RelayFixture.await(() -> fixture.metrics.timer("relay.first-byte.crew").getCount() == 1);
      fault.inject(fixture, a);
      final RelayFixture.Response response = pending.get();
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
      ends.addAll(fixture.slots.ends());
      assertEquals(1, a.started() + b.started(), "exactly one run is started");
      assertEquals(1, StreamVerifier.countRuns(response.body()));
      return response;
    } finally {
      a.stop();
      b.stop();
    }
  }

  private interface Fault {
    void inject(RelayFixture fixture, EngineStandIn serving);
  }

  @Test
  void streamResumesAtItsOffsetOnAnotherEngineAfterConnectionLoss() throws Exception {
    List<LeaseEnd> ends = new ArrayList<>();
    RelayFixture.Response response =
        streamWithFault((fixture, engine) -> engine.dropConnections(), ends);
    assertTrue(response.complete());
    assertTrue(StreamVerifier.isComplete(response.body(), 200), response.body());
    assertEquals(List.of(LeaseEnd.FAILED, LeaseEnd.FINISHED), ends);
  }

  @Test
  void preemptedStreamResumesAtItsOffset() throws Exception {
    List<LeaseEnd> ends = new ArrayList<>();
    RelayFixture.Response response =
        streamWithFault((fixture, engine) -> fixture.slots.preemptAll(), ends);
    assertTrue(response.complete());
    assertTrue(StreamVerifier.isComplete(response.body(), 200), response.body());
    assertEquals(List.of(LeaseEnd.CANCELLED, LeaseEnd.FINISHED), ends);
  }

  @Test
  void streamOfCrashedEngineIsVisiblyTruncated() throws Exception {
    RelayFixture.Response response =
        streamWithFault((fixture, engine) -> engine.crash(), new ArrayList<>());
    assertFalse(response.complete());
    assertTrue(StreamVerifier.isPrefix(response.body(), 200), response.body());
  }

  @Test
  void callerDisconnectCancelsTheStreamAndCountsWastedTokens() throws Exception {
    EngineStandIn engine = new EngineStandIn(ANY, 2, TOKEN_MILLIS);
    engine.start();
    try (RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, engine.address())) {
      try (Socket s = fixture.connect()) {
        String body = "{\"stream\":true,\"max_tokens\":1000000}";
        s.getOutputStream()
            .write(
                RelayFixture.postRequest("/v1/chat/completions", body, "")
                    .getBytes(StandardCharsets.US_ASCII));
        RelayFixture.await(() -> fixture.metrics.timer("relay.first-byte.crew").getCount() == 1);
      }
      RelayFixture.await(fixture.slots::allLeasesEndedOnce);
      assertEquals(List.of(LeaseEnd.CANCELLED), fixture.slots.ends());
      RelayFixture.await(engine::isIdle);
      assertTrue(fixture.metrics.counter("relay.tokens.wasted").getCount() > 0);
    } finally {
      engine.stop();
    }
  }

  @Test
  void slowCallerAppliesBackpressureToTheBackendServer() throws Exception {
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
        RelayFixture fixture = new RelayFixture(backend.address());
        Socket s = fixture.connect()) {
      s.getOutputStream().write(RelayFixture.chatRequest("").getBytes(StandardCharsets.US_ASCII));
      RelayFixture.await(() -> fixture.slots.ends().equals(List.of(LeaseEnd.CANCELLED)));
      assertTrue(written.get() < 64_000_000, "the backend server wrote " + written.get());
    }
  }
}
