package org.wigeonwharf.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.model.FailureDomain;

/**
 * Guards, over real connections, against requests that reach a server after they were cancelled,
 * and against servers that send bytes without end.
 */
@Timeout(30)
class NettyBackendConnectorTest {
  private static final long WAIT_SECONDS = 10;
  private static final int LONG_BODY_BYTES = 16_000_000;
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private NioEventLoopGroup loops;
  private ServerSocket serverSocket;

  @BeforeEach
  void openServer() throws IOException {
    loops = new NioEventLoopGroup(1);
    serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void closeServer() throws IOException {
    serverSocket.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Records what the connector reports. */
  private class Recorder implements AttemptListener {
    @Override
    public void onUnreachable(String reason, boolean refused) {
      events.add("unreachable");
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
      events.add("head");
    }

    @Override
    public void onData(byte[] bytes) {}

    @Override
    public void onComplete() {
      events.add("complete");
    }

    @Override
    public void onConnectionLost(String reason) {
      events.add("lost");
    }
  }

  private Attempt send() {
    return send(new Recorder());
  }

  private Attempt send(AttemptListener listener) {
    return send(listener, new byte[0]);
  }

  private Attempt send(AttemptListener listener, byte[] body) {
    BackendServer server =
        new BackendServer(
            "s",
            "service",
            new InetSocketAddress(serverSocket.getInetAddress(), serverSocket.getLocalPort()),
            new FailureDomain("d"),
            6,
            false,
            1);
    HttpHeaders headers = new DefaultHttpHeaders().set("host", "h");
    headers.set("content-length", body.length);
    OutboundRequest request = new OutboundRequest(HttpMethod.POST, "/", headers, body);
    return new NettyBackendConnector(loops.next()).send(server, request, listener);
  }

  private String nextEvent() throws InterruptedException {
    return String.valueOf(events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
  }

  // Guards against requests that go on beside the event loop after a connect without descriptors.
  @Test
  void connectWithoutFreeDescriptorIsReportedOnTheEventLoop() throws Exception {
    EventLoop loop = loops.next();
    NettyBackendConnector connector =
        new NettyBackendConnector(
            loop,
            () -> {
              throw new ChannelException("Too many open files");
            });
    BackendServer server =
        new BackendServer(
            "s",
            "service",
            (InetSocketAddress) serverSocket.getLocalSocketAddress(),
            new FailureDomain("d"),
            1,
            false,
            1);
    OutboundRequest request =
        new OutboundRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
    Recorder recorder =
        new Recorder() {
          @Override
          public void onUnreachable(String reason, boolean refused) {
            events.add(loop.inEventLoop() ? "on the loop" : "on another thread");
          }
        };
    loop.submit(() -> connector.send(server, request, recorder))
        .get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertEquals("on the loop", events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    loop.submit(
            () -> {
              Attempt attempt = connector.send(server, request, recorder);
              attempt.setPaused(true);
              attempt.cancel();
            })
        .get(WAIT_SECONDS, TimeUnit.SECONDS);
    assertNull(events.poll(100, TimeUnit.MILLISECONDS), "reported after it was cancelled");
  }

  @Test
  void cancelledRequestResetsItsConnection() throws Exception {
    Attempt attempt = send();
    try (Socket server = serverSocket.accept()) {
      assertTrue(server.getInputStream().read() > 0);
      loops.next().submit(attempt::cancel).get();
      // An orderly close would be read as the end of the stream.
      assertThrows(SocketException.class, () -> server.getInputStream().readAllBytes());
    }
  }

  /** Measures what is passed on in one pass of the event loop. */
  private final class PassRecorder extends Recorder {
    private final EventLoop loop = loops.next();
    private final CountDownLatch enough = new CountDownLatch(1);
    private int bytes;
    private int calls;
    private int maxBytes;
    private int maxCalls;
    private int total;

    private void endPass() {
      bytes = 0;
      calls = 0;
    }

    @Override
    public void onData(byte[] data) {
      if (calls == 0) {
        // Tasks run once all connections that are ready have been read.
        loop.execute(this::endPass);
      }
      bytes += data.length;
      calls++;
      maxBytes = Math.max(maxBytes, bytes);
      maxCalls = Math.max(maxCalls, calls);
      total += data.length;
      if (total >= 500_000) {
        enough.countDown();
      }
    }
  }

  private void assertLoopServesOthersAfterEachRead(String head, String repeated) throws Exception {
    PassRecorder passes = new PassRecorder();
    Attempt attempt = send(passes);
    try (Socket server = serverSocket.accept()) {
      Thread writer =
          new Thread(
              () -> assertThrows(IOException.class, () -> writeWithoutEnd(server, head, repeated)));
      writer.start();
      assertTrue(
          passes.enough.await(WAIT_SECONDS, TimeUnit.SECONDS),
          () -> passes.total + " bytes only, " + events);
      passes.loop.submit(attempt::cancel).get(WAIT_SECONDS, TimeUnit.SECONDS);
      writer.join();
    }
    assertEquals(1, passes.maxCalls, "pieces of one read");
    assertTrue(passes.maxBytes <= 16 * 1024, passes.maxBytes + " bytes in one pass");
  }

  // Guards against one server's bytes without end that keep the loop from other connections.
  @Test
  void bytesWithoutEndLeaveTheLoopToOthersAfterEachRead() throws Exception {
    assertLoopServesOthersAfterEachRead(OK + "\r\n", "\n");
    assertLoopServesOthersAfterEachRead(CHUNKED, "1\r\n\n\r\n");
  }

  @Test
  void endlessStatusLineFailsTheAttempt() throws Exception {
    assertAttemptFails("HTTP/1.1 200 ", "X");
  }

  @Test
  void endlessBytesThatAreNotHttpFailTheAttempt() throws Exception {
    assertAttemptFails("", "X");
  }

  @Test
  void endlessHeaderFieldFailsTheAttempt() throws Exception {
    assertAttemptFails(OK + "X-Field: ", "X");
  }

  @Test
  void endlessHeaderFieldsFailTheAttempt() throws Exception {
    assertAttemptFails(OK, "X-Field: 1\r\n");
  }

  @Test
  void endlessChunkSizeFailsTheAttempt() throws Exception {
    assertAttemptFails(CHUNKED, "0");
  }

  @Test
  void endlessChunkExtensionFailsTheAttempt() throws Exception {
    assertAttemptFails(CHUNKED + "1;extension=", "X");
  }

  @Test
  void endlessTrailersFailTheAttempt() throws Exception {
    assertAttemptFails(CHUNKED + "0\r\n", "X-Field: 1\r\n");
  }

  @Test
  void endlessInterimResponsesFailTheAttempt() throws Exception {
    assertAttemptFails("", "HTTP/1.1 102 Processing\r\n\r\n");
  }

  @Test
  void bytesWhereNoBodyIsDueAreNotRead() throws Exception {
    assertAttemptCompletes("HTTP/1.1 204 No Content\r\n\r\n", "X");
  }

  @Test
  void secondCopyOfAnAnswerIsNotRead() throws Exception {
    String answer = OK + "Content-Length: 1\r\n\r\nX";
    assertAttemptCompletes(answer, answer);
  }

  /** Answers an attempt and ends the connection in order or by a reset. */
  private void answerAndClose(String answer, boolean reset) throws Exception {
    send();
    try (Socket server = serverSocket.accept()) {
      assertTrue(server.getInputStream().read() > 0);
      server.getInputStream().skipNBytes(server.getInputStream().available());
      server.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      server.getOutputStream().flush();
      assertEquals("head", nextEvent());
      if (reset) {
        server.setSoLinger(true, 0);
      }
    }
  }

  @Test
  void answerWithoutLengthEndsWithItsConnection() throws Exception {
    answerAndClose(OK + "\r\nanswer", false);
    assertEquals("complete", nextEvent());
  }

  @Test
  void answerWithoutLengthIsLostWhenReset() throws Exception {
    answerAndClose(OK + "\r\nanswer", true);
    assertEquals("lost", nextEvent());
  }

  /** Answers a long request that is never read to its end, and then ends the connection. */
  private void answerEarly(String answer, boolean reset) throws Exception {
    serverSocket.setReceiveBufferSize(16 * 1024);
    send(new Recorder(), new byte[LONG_BODY_BYTES]);
    try (Socket server = serverSocket.accept()) {
      assertTrue(server.getInputStream().read() > 0);
      server.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      server.getOutputStream().flush();
      assertEquals("head", nextEvent());
      if (reset) {
        server.setSoLinger(true, 0);
      } else {
        server.shutdownOutput();
        assertEquals("complete", nextEvent());
      }
    }
  }

  // Guards against a part of an answer that looks whole because a write finds the reset.
  @Test
  void earlyAnswerWithoutLengthIsLostWhenResetWithinTheRequest() throws Exception {
    answerEarly(OK + "\r\nanswer", true);
    assertEquals("lost", nextEvent());
  }

  @Test
  void earlyAnswerWithoutLengthEndsInOrderWithinTheRequest() throws Exception {
    answerEarly(OK + "\r\nanswer", false);
  }

  // Guards against a whole answer that is lost because the request can't be sent to its end.
  @Test
  void earlyAnswerWithLengthIsWholeWhenResetWithinTheRequest() throws Exception {
    answerEarly(OK + "Content-Length: 6\r\n\r\nanswer", true);
    assertEquals("complete", nextEvent());
    answerEarly(CHUNKED + "6\r\nanswer\r\n0\r\n\r\n", true);
    assertEquals("complete", nextEvent());
  }

  @Test
  void answerWithLengthOrChunksIsLostWithItsConnection() throws Exception {
    answerAndClose(OK + "Content-Length: 20\r\n\r\nanswer", false);
    assertEquals("lost", nextEvent());
    answerAndClose(CHUNKED + "6\r\nanswer\r\n", false);
    assertEquals("lost", nextEvent());
  }

  private void assertAttemptFails(String head, String repeated) throws Exception {
    send();
    try (Socket server = serverSocket.accept()) {
      assertThrows(IOException.class, () -> writeWithoutEnd(server, head, repeated));
    }
    String first = nextEvent();
    assertEquals("lost", first.equals("head") ? nextEvent() : first);
  }

  private void assertAttemptCompletes(String answer, String repeated) throws Exception {
    send();
    try (Socket server = serverSocket.accept()) {
      assertThrows(IOException.class, () -> writeWithoutEnd(server, answer, repeated));
    }
    assertEquals("head", nextEvent());
    assertEquals("complete", nextEvent());
    assertTrue(events.isEmpty());
  }

  private static void writeWithoutEnd(Socket server, String head, String repeated)
      throws IOException {
    OutputStream out = server.getOutputStream();
    out.write(head.getBytes(StandardCharsets.US_ASCII));
    byte[] block = repeated.repeat(1_000).getBytes(StandardCharsets.US_ASCII);
    while (true) {
      out.write(block);
    }
  }
}
