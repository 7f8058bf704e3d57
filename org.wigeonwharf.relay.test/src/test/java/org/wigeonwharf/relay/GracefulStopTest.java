package org.wigeonwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers losing requests in a graceful stop. That happens if the listener stays
 * open, if idle connections are closed while a caller's request is on its way, or if the drain ends
 * before a slow reader has its complete response.
 */
class GracefulStopTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private static CompletableFuture<Void> drain(RelayFixture fixture) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            fixture.relay.drain();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private static void send(Socket s, String request) throws IOException {
    s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private static boolean isRefused(RelayFixture fixture) {
    try (Socket s = fixture.connect()) {
      return s.isClosed();
    } catch (IOException e) {
      return true;
    }
  }

  @Test
  void requestInFlightCompletesAndNewConnectionsAreRefused() throws Exception {
    CountDownLatch mayRespond = new CountDownLatch(1);
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  mayRespond.await();
                  p.write(OK);
                  p.awaitEnd();
                });
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address());
        Socket s = fixture.connect()) {
      send(s, RelayFixture.chatRequest(""));
      RelayFixture.await(() -> backend.requests() == 1);
      CompletableFuture<Void> drained = drain(fixture);
      RelayFixture.await(() -> isRefused(fixture));
      assertFalse(drained.isDone());
      mayRespond.countDown();
      RelayFixture.Response response = ResponseReader.readFrom(s);
      assertEquals("ok", response.body());
      assertEquals("close", response.header("Connection"));
      drained.get();
      assertEquals(0, fixture.relay.inFlight());
    }
  }

  @Test
  void requestOnIdleConnectionIsServedAfterDrainBegan() throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write(OK);
                  p.awaitEnd();
                });
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_DRAIN_LIMITS, backend.address());
        Socket s = fixture.connect()) {
      send(s, RelayFixture.chatRequest(""));
      assertEquals("ok", ResponseReader.readFrom(s).body());
      final CompletableFuture<Void> drained = drain(fixture);
      RelayFixture.await(() -> isRefused(fixture));
      send(s, RelayFixture.bookingRequest());
      RelayFixture.Response response = ResponseReader.readFrom(s);
      assertEquals("ok", response.body());
      assertEquals("close", response.header("Connection"));
      drained.get();
    }
  }

  @Test
  void slowReaderGetsCompleteResponseAfterDrainBegan() throws Exception {
    int bytes = 24_000_000;
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
                  p.write("x".repeat(bytes));
                  p.awaitEnd();
                });
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address());
        Socket s = fixture.connect()) {
      send(s, RelayFixture.chatRequest(""));
      RelayFixture.await(() -> fixture.metrics.timer("relay.first-byte.crew").getCount() == 1);
      CompletableFuture<Void> drained = drain(fixture);
      RelayFixture.await(() -> isRefused(fixture));
      // Well over the drainIdleMillis of these limits, after which a drain that ignores requests in
      // flight would have ended.
      Thread.sleep(2_000);
      assertFalse(drained.isDone());
      RelayFixture.Response response = ResponseReader.readFrom(s);
      assertTrue(response.complete());
      assertEquals(bytes, response.body().length());
      drained.get();
    }
  }

  @Test
  void drainWithoutConnectionsEndsAtOnce() throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.Connection::awaitEnd);
        RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address())) {
      fixture.relay.drain();
      assertThrows(IOException.class, fixture::connect);
    }
  }

  @Test
  void noConnectionIsAcceptedOnceDrainHasReturned() throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.Connection::awaitEnd)) {
      for (int i = 0; i < 200; i++) {
        try (RelayFixture fixture = new RelayFixture(RelayFixture.LONG_LIMITS, backend.address())) {
          fixture.relay.drain();
          assertThrows(IOException.class, fixture::connect, "attempt " + i);
        }
      }
    }
  }
}
