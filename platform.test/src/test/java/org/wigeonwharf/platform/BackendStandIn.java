package org.wigeonwharf.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Backend server for tests that records its requests and can pause a stream. */
final class BackendStandIn implements AutoCloseable {
  private final String id;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpServer server;
  final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
  private volatile String limit = "";
  private volatile CountDownLatch hold = new CountDownLatch(0);

  /**
   * A request as received by the server.
   *
   * @param exchange the HTTP exchange, with the request's headers
   * @param body the request's body
   */
  record ReceivedRequest(HttpExchange exchange, String body) {
    String header(String name) {
      return exchange.getRequestHeaders().getFirst(name);
    }
  }

  BackendStandIn(String id) throws IOException {
    this.id = id;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext("/", this::answer);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Names a limit of requests per second in all answers. */
  void nameLimit(String requestsPerSecond) {
    limit = requestsPerSecond;
  }

  /** Pauses answers after their first event until {@link #release}. */
  void hold() {
    hold = new CountDownLatch(1);
  }

  void release() {
    hold.countDown();
  }

  private void answer(HttpExchange x) throws IOException {
    try (x) {
      String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      received.add(new ReceivedRequest(x, body));
      if (!id.equals(x.getRequestHeaders().getFirst(WireNames.EXPECTED_SERVER))) {
        x.sendResponseHeaders(421, -1);
        return;
      }
      x.getResponseHeaders()
          .set(WireNames.REQUEST_ID, x.getRequestHeaders().getFirst(WireNames.REQUEST_ID));
      x.getResponseHeaders().set(WireNames.SIGNATURE, "signed");
      x.getResponseHeaders().set(WireNames.LOAD, "1,0,6,100");
      if (!limit.isEmpty()) {
        x.getResponseHeaders().set(WireNames.REQUEST_RATE_LIMIT, limit);
      }
      x.getResponseHeaders().set("Content-Type", "text/event-stream");
      x.sendResponseHeaders(200, 0);
      OutputStream out = x.getResponseBody();
      out.write("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
      out.flush();
      hold.await();
      out.write("id: 2\ndata: b\n\n".getBytes(StandardCharsets.UTF_8));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    release();
    server.stop(0);
    executor.shutdownNow();
  }
}
