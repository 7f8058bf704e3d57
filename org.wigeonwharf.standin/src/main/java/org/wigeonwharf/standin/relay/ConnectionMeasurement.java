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
 * A ConnectionMeasurement compares a fresh connection per request with pooled ones, against a
 * server that closes a connection after a short idle time, with requests at about that interval.
 */
final class ConnectionMeasurement {
  private static final int CALLS = 1_000;
  private static final int SERVER_IDLE_MILLIS = 10;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final byte[] ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket server = new ServerSocket();

  ConnectionMeasurement() throws IOException {
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    daemon(this::accept);
  }

  private static void daemon(Runnable work) {
    Thread t = new Thread(work, "measured-server");
    t.setDaemon(true);
    t.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket s = server.accept();
        daemon(() -> serve(s));
      }
    } catch (IOException e) {
      System.err.println("the measured server ended: " + e.getMessage());
    }
  }

  private static void serve(Socket socket) {
    try (socket) {
      socket.setSoTimeout(SERVER_IDLE_MILLIS);
      socket.setSoLinger(true, 0);
      socket.setTcpNoDelay(true);
      byte[] buffer = new byte[8_192];
      while (socket.getInputStream().read(buffer) > 0) {
        socket.getOutputStream().write(ANSWER);
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

  private void measure(PrintStream out, String name, boolean fresh) throws Exception {
    HttpClient client = new HttpClient();
    client.start();
    Histogram micros = new Histogram(3);
    int unknown = 0;
    for (int i = 0; i < CALLS; i++) {
      AtomicBoolean written = new AtomicBoolean();
      long start = System.nanoTime();
      Request r = client.POST("http://127.0.0.1:" + server.getLocalPort() + "/bookings");
      r.onRequestBegin(b -> written.set(true));
      if (fresh) {
        r.headers(h -> h.put(HttpHeader.CONNECTION, "close"));
      }
      try {
        r.send();
        micros.recordValue((System.nanoTime() - start) / NANOS_PER_MICRO);
      } catch (ExecutionException e) {
        unknown += written.get() ? 1 : 0;
      }
      TimeUnit.MILLISECONDS.sleep(SERVER_IDLE_MILLIS);
    }
    client.stop();
    out.printf(
        "| %s | %d | %d | %d us | %d us |%n",
        name, CALLS, unknown, micros.getValueAtPercentile(50), micros.getValueAtPercentile(99));
  }
}
