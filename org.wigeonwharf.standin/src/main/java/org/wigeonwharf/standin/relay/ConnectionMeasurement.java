package org.wigeonwharf.standin.relay;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Compares a fresh connection per request with pooled connections, against a server that closes
 * idle connections. The requests are as far apart as the server's idle timeout, so that a pooled
 * connection is often closed just as a request is sent on it.
 */
final class ConnectionMeasurement {
  private static final int CALLS = 1_000;
  private static final int SERVER_IDLE_TIMEOUT_MILLIS = 10;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket server = new ServerSocket();

  ConnectionMeasurement() throws IOException {
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    startDaemon(this::accept);
  }

  private static void startDaemon(Runnable task) {
    Thread t = new Thread(task, "measured-server");
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = server.accept();
        startDaemon(() -> serve(s));
      }
    } catch (IOException e) {
      System.err.println("the test server stopped accepting connections: " + e.getMessage());
    }
  }

  private static void serve(Socket socket) {
    try (socket) {
      socket.setSoTimeout(SERVER_IDLE_TIMEOUT_MILLIS);
      socket.setSoLinger(true, 0);
      socket.setTcpNoDelay(true);
      byte[] buffer = new byte[8_192];
      while (socket.getInputStream().read(buffer) > 0) {
        socket.getOutputStream().write(RESPONSE);
      }
    } catch (SocketTimeoutException e) {
      return;
    } catch (IOException e) {
      return;
    }
  }

  void run(PrintStream out) throws Exception {
    out.println("| connection | calls | may have run, unanswered | p50 | p99 |");
    out.println("| --- | --- | --- | --- | --- |");
    measure(out, "pooled", false);
    measure(out, "fresh", true);
  }

  private void measure(PrintStream out, String name, boolean freshConnections) throws Exception {
    HttpClient client = new HttpClient();
    client.start();
    Histogram micros = new Histogram(3);
    int mayHaveRun = 0;
    for (int i = 0; i < CALLS; i++) {
      AtomicBoolean written = new AtomicBoolean();
      long start = System.nanoTime();
      Request r = client.POST("http://127.0.0.1:" + server.getLocalPort() + "/bookings");
      r.onRequestBegin(b -> written.set(true));
      if (freshConnections) {
        r.headers(h -> h.put(HttpHeader.CONNECTION, "close"));
      }
      try {
        r.send();
        micros.recordValue((System.nanoTime() - start) / NANOS_PER_MICRO);
      } catch (ExecutionException e) {
        mayHaveRun += written.get() ? 1 : 0;
      }
      TimeUnit.MILLISECONDS.sleep(SERVER_IDLE_TIMEOUT_MILLIS);
    }
    client.stop();
    out.printf(
        "| %s | %d | %d | %d us | %d us |%n",
        name, CALLS, mayHaveRun, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
  }
}
