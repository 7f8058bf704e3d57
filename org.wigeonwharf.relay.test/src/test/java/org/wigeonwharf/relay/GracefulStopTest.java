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

class GracefulStopTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private static CompletableFuture<Void> drain(RelayBench bench) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            bench.relay.drain();
          } catch (InterruptedException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private static void send(Socket s, String request) throws IOException {
    s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private static boolean isRefused(RelayBench bench) {
    try (Socket s = bench.connect()) {
      return s.isClosed();
    } catch (IOException e) {
      return true;
    }
  }

  @Test
  void answerInFlightEndsWholeAndNewConnectionsAreRefused() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  go.await();
                  p.write(OK);
                  p.awaitEnd();
                });
        RelayBench bench = new RelayBench(RelayBench.PATIENT, backend.address());
        Socket s = bench.connect()) {
      send(s, RelayBench.chat(""));
      RelayBench.await(() -> backend.requests() == 1);
      CompletableFuture<Void> drained = drain(bench);
      RelayBench.await(() -> isRefused(bench));
      assertFalse(drained.isDone());
      go.countDown();
      RelayBench.Answer a = AnswerReader.readFrom(s);
      assertEquals("ok", a.body());
      assertEquals("close", a.header("Connection"));
      drained.get();
      assertEquals(0, bench.relay.inFlight());
    }
  }

  @Test
  void requestOnIdleConnectionIsServedAfterTheStopBegan() throws Exception {
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write(OK);
                  p.awaitEnd();
                });
        RelayBench bench = new RelayBench(RelayBench.LINGERING, backend.address());
        Socket s = bench.connect()) {
      send(s, RelayBench.chat(""));
      assertEquals("ok", AnswerReader.readFrom(s).body());
      final CompletableFuture<Void> drained = drain(bench);
      RelayBench.await(() -> isRefused(bench));
      send(s, RelayBench.booking());
      RelayBench.Answer a = AnswerReader.readFrom(s);
      assertEquals("ok", a.body());
      assertEquals("close", a.header("Connection"));
      drained.get();
    }
  }

  @Test
  void slowReaderGetsTheWholeAnswerAfterTheStopBegan() throws Exception {
    int bytes = 24_000_000;
    try (ScriptedBackend backend =
            new ScriptedBackend(
                p -> {
                  p.readHead();
                  p.write("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n");
                  p.write("x".repeat(bytes));
                  p.awaitEnd();
                });
        RelayBench bench = new RelayBench(RelayBench.PATIENT, backend.address());
        Socket s = bench.connect()) {
      send(s, RelayBench.chat(""));
      RelayBench.await(() -> bench.metrics.timer("relay.first-byte.crew").getCount() == 1);
      CompletableFuture<Void> drained = drain(bench);
      RelayBench.await(() -> isRefused(bench));
      // Well past the linger of these limits: a drain that forgets a slow reader has ended by then.
      Thread.sleep(2_000);
      assertFalse(drained.isDone());
      RelayBench.Answer a = AnswerReader.readFrom(s);
      assertTrue(a.clean());
      assertEquals(bytes, a.body().length());
      drained.get();
    }
  }

  @Test
  void drainWithoutConnectionsEndsAtOnce() throws Exception {
    try (ScriptedBackend backend = new ScriptedBackend(ScriptedBackend.Peer::awaitEnd);
        RelayBench bench = new RelayBench(RelayBench.PATIENT, backend.address())) {
      bench.relay.drain();
      assertThrows(IOException.class, bench::connect);
    }
  }
}
