import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One model server is in trouble for some seconds and answers streams with bytes without end. Bookings
 * at another service, on kept connections to the same routers, have to get their final answers.
 */
final class EndlessBody {
  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int DEADLINE_MILLIS = 4_000;
  private static final int SERVERS = 8;
  private static final int TROUBLE_MILLIS = 6_500;
  private static final byte[] EMPTY_LINES = Lab.ascii("\n".repeat(8_192));

  private final Lab lab;
  private final AtomicInteger bookings = new AtomicInteger();
  private final AtomicInteger atTimeout = new AtomicInteger();
  private final AtomicInteger afterTimeout = new AtomicInteger();
  private final AtomicInteger streams = new AtomicInteger();
  private final AtomicInteger wholeStreams = new AtomicInteger();
  private final AtomicInteger endless = new AtomicInteger();
  private volatile boolean inTrouble;
  private volatile boolean stopped;

  private EndlessBody(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new EndlessBody(lab).body());
  }

  private void body() throws Exception {
    Lab.Store store = lab.store();
    List<String> zones = List.of("zone-a", "zone-b", "zone-c");
    for (int i = 0; i < SERVERS; i++) {
      lab.backend("i-" + i, "assistant", zones.get(i % 3), 64, 0, this::stream)
          .publish(store, "ready");
    }
    for (int i = 0; i < 3; i++) {
      lab.backend("i-1" + i, "bookings", zones.get(i), 6, 0, EndlessBody::confirm)
          .publish(store, "ready");
    }
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(
                Lab.route("bench", "streaming", 12_000, 400, "assistant", 2, true),
                Lab.route("book", "unsafe", TIMEOUT_MILLIS, 250, "bookings", 1, false)),
            List.of(Lab.service("assistant"), Lab.service("bookings"))));
    List<Lab.Router> routers = new ArrayList<>();
    zones.forEach(z -> routers.add(lab.router("front-" + z, z)));
    List<String> seeds = routers.stream().map(Lab.Router::peers).toList();
    for (Lab.Router r : routers) {
      r.start(store, seeds, zones);
    }
    for (Lab.Router r : routers) {
      if (!r.awaitReady(20_000)) {
        lab.finish(2, r.name + " did not become ready");
      }
    }
    for (int i = 0; i < 36; i++) {
      int n = i;
      Lab.thread(() -> book(routers.get(n % 3), n));
    }
    Lab.thread(() -> sendStreams(routers));
    Lab.sleep(6_000);
    logCounts();
    if (Lab.trouble()) {
      lab.log("i-0 gets into trouble: one of " + SERVERS + " model servers, for 6.5 s");
      inTrouble = true;
    }
    Lab.sleep(TROUBLE_MILLIS);
    inTrouble = false;
    logCounts();
    Lab.sleep(20_000);
    logCounts();
    stopped = true;
    boolean broken = afterTimeout.get() >= 8 && 2 * afterTimeout.get() > atTimeout.get();
    lab.finish(
        broken ? 1 : 0,
        atTimeout + " bookings had no answer at the route's timeout, " + afterTimeout
            + " of them none half a second later");
  }

  private void logCounts() {
    lab.log(
        "bookings " + bookings + ", unanswered at the timeout " + atTimeout
            + ", half a second later " + afterTimeout + "; streams " + streams + ", whole "
            + wholeStreams + ", sent to the server in trouble " + endless);
  }

  private static void confirm(
      Lab.Backend server, Socket socket, InputStream in, Lab.Message request) throws Exception {
    Lab.sleep(40);
    socket.getOutputStream().write(Lab.okAnswer(request, "done"));
  }

  private void stream(Lab.Backend server, Socket socket, InputStream in, Lab.Message request)
      throws Exception {
    String id = request.header("x-wigeonwharf-request-id");
    OutputStream out = socket.getOutputStream();
    out.write(
        Lab.ascii(
            "HTTP/1.1 200 OK\r\nX-Wigeonwharf-Request-Id: " + id
                + "\r\nX-Wigeonwharf-Server-Seal: 3e1b.07." + id
                + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"));
    if (inTrouble && server.id.equals("i-0")) {
      endless.incrementAndGet();
      lab.log("i-0 begins to answer " + id + " without end");
      while (true) {
        out.write(EMPTY_LINES);
      }
    }
    String lastId = request.header("last-event-id");
    for (int i = lastId == null ? 0 : Integer.parseInt(lastId); i < 20; i++) {
      out.write(Lab.ascii("id: " + (i + 1) + "\ndata: piece\n\n"));
      out.flush();
      Lab.sleep(50);
    }
  }

  /** Sends fifteen streams a second; their callers leave after two seconds without an event. */
  private void sendStreams(List<Lab.Router> routers) {
    Random random = new Random(1);
    for (int n = 0; !stopped; n++) {
      Lab.Router r = routers.get(random.nextInt(routers.size()));
      String id = String.format("a%015x", n);
      Lab.thread(() -> readStream(r, id));
      Lab.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / 15));
    }
  }

  private void readStream(Lab.Router r, String id) {
    streams.incrementAndGet();
    try (Socket s = r.connect()) {
      s.setSoTimeout(2_000);
      s.getOutputStream().write(Lab.ascii(Lab.requestHead("POST", "/bench/x", id, 12_000, 0)));
      InputStream in = new BufferedInputStream(s.getInputStream());
      if (Lab.readHead(in) == null) {
        return;
      }
      int events = 0;
      long lastEventAt = System.nanoTime();
      while (events < 20 && System.nanoTime() - lastEventAt < 2_000_000_000L) {
        String line = Lab.readLine(in);
        if (line == null) {
          return;
        }
        if (line.startsWith("data:")) {
          events++;
          lastEventAt = System.nanoTime();
        }
      }
      if (events == 20) {
        wholeStreams.incrementAndGet();
      }
    } catch (IOException e) {
      // The caller leaves.
    }
  }

  /** Books twice a second on a kept connection; a caller leaves at its own deadline. */
  private void book(Lab.Router r, int caller) {
    for (int k = 0; !stopped; ) {
      try (Socket s = r.connect()) {
        var in = new BufferedInputStream(s.getInputStream());
        while (!stopped) {
          String id = String.format("b%07x%08x", caller, k++);
          s.getOutputStream()
              .write(Lab.ascii(Lab.requestHead("POST", "/book/x", id, DEADLINE_MILLIS, 0)));
          bookings.incrementAndGet();
          if (!await(s, in, r, id)) {
            break;
          }
          Lab.Message m = Lab.readHead(in);
          if (m == null) {
            break;
          }
          Lab.readBody(in, m, true);
          Lab.sleep(500);
        }
      } catch (IOException e) {
        Lab.sleep(500);
      }
    }
  }

  /** Waits for the first byte of an answer; false once the caller's deadline is over. */
  private boolean await(Socket s, BufferedInputStream in, Lab.Router r, String id)
      throws IOException {
    int[] waits = {TIMEOUT_MILLIS, 500, DEADLINE_MILLIS - TIMEOUT_MILLIS - 500};
    for (int i = 0; i < waits.length; i++) {
      s.setSoTimeout(waits[i]);
      in.mark(1);
      try {
        if (in.read() >= 0) {
          in.reset();
        }
        s.setSoTimeout(10_000);
        return true;
      } catch (SocketTimeoutException e) {
        if (i < 2) {
          (i == 0 ? atTimeout : afterTimeout).incrementAndGet();
        }
        if (i == 1) {
          lab.log("booking " + id + " at " + r.name + ": no answer half a second past the timeout");
        }
      }
    }
    return false;
  }
}
