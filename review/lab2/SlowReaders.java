import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers read long answers over slow links while their router is stopped as planned. */
final class SlowReaders {
  private static final int CALLERS = 120;
  private static final int LEAST_BYTES = 1_500_000;
  private static final int STEP_BYTES = 25_000;

  /** What each caller reads in a second: 1.6 Mbit/s. */
  private static final int BYTES_PER_SECOND = 200_000;

  /** An answer at which the server is still at work later than this after the SIGTERM is excused. */
  private static final double LAST_SIXTH_SECONDS = 8 * 5 / 6.0;

  private static final byte[] PATTERN = new byte[LEAST_BYTES + CALLERS * STEP_BYTES];

  private final Lab lab;
  private final Map<String, Double> deliveredAt = new ConcurrentHashMap<>();
  private final Map<String, Double> cutAt = new ConcurrentHashMap<>();
  private final AtomicInteger whole = new AtomicInteger();

  private SlowReaders(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new SlowReaders(lab).body());
  }

  private void body() throws Exception {
    Lab.Store store = lab.store();
    for (int i = 0; i < 3; i++) {
      lab.backend("i-" + i, "files", "zone-a", 40, 0, this::answer).publish(store, "ready");
    }
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(Lab.route("file", "safe", 60_000, 2_000, "files", 1, false)),
            List.of(Lab.service("files"))));
    List<String> zones = List.of("zone-a", "zone-b");
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
    Lab.sleep(4_000);
    int counted = 0;
    for (int i = 0; i < routers.size(); i++) {
      counted += stopWhileRead(routers.get(i), i);
    }
    lab.finish(
        counted > 0 ? 1 : 0,
        whole + " answers came whole, " + cutAt.size() + " were cut, " + counted
            + " of these although their servers had delivered them in time");
  }

  /** Stops a router among its callers' answers; returns how many were cut without an excuse. */
  private int stopWhileRead(Lab.Router r, int round) throws Exception {
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int n = i;
      callers.add(Lab.thread(() -> read(r, round, n)));
      Lab.sleep(10);
    }
    Lab.sleep(1_000);
    double signalAt = lab.seconds();
    if (Lab.trouble()) {
      r.signal("TERM");
    }
    for (Thread t : callers) {
      t.join(60_000);
    }
    int counted = 0;
    for (String id : new TreeMap<>(cutAt).keySet()) {
      if (!id.startsWith("7" + round)) {
        continue;
      }
      Double delivered = deliveredAt.get(id);
      boolean excused = delivered == null || delivered > signalAt + LAST_SIXTH_SECONDS;
      lab.log(
          "cut " + id + ": its server had delivered everything "
              + (delivered == null
                  ? "never"
                  : String.format("%.3f s after the signal", delivered - signalAt))
              + (excused ? ", not counted" : ""));
      counted += excused ? 0 : 1;
    }
    return counted;
  }

  private static int size(int caller) {
    return LEAST_BYTES + caller * STEP_BYTES;
  }

  private void answer(Lab.Backend server, Socket socket, InputStream in, Lab.Message request)
      throws Exception {
    String id = request.header("x-wigeonwharf-request-id");
    int size = Integer.parseInt(request.first.split(" ")[1].substring("/file/".length()));
    OutputStream out = socket.getOutputStream();
    out.write(
        Lab.ascii(
            "HTTP/1.1 200 OK\r\nX-Wigeonwharf-Request-Id: " + id
                + "\r\nX-Wigeonwharf-Server-Seal: 3e1b.07." + id + "\r\nContent-Length: " + size
                + "\r\nConnection: close\r\n\r\n"));
    out.write(PATTERN, 0, size);
    out.flush();
    // The router closes the channel once it has read the whole answer.
    socket.shutdownOutput();
    in.read();
    deliveredAt.put(id, lab.seconds());
    lab.log(server.id + " has delivered all " + size + " bytes for " + id);
  }

  private void read(Lab.Router r, int round, int caller) {
    int size = size(caller);
    String id = String.format("7%d%014x", round, caller);
    try (Socket s = new Socket()) {
      s.setReceiveBufferSize(32_768);
      s.connect(Lab.address(r.callers), 1_000);
      s.getOutputStream().write(Lab.ascii(Lab.requestHead("GET", "/file/" + size, id, 60_000, -1)));
      Lab.Message m = Lab.readHead(s.getInputStream());
      if (m == null) {
        throw new IOException("closed without an answer");
      }
      long begin = System.nanoTime();
      long[] read = new long[1];
      InputStream raw = s.getInputStream();
      InputStream slow =
          new InputStream() {
            @Override
            public int read() throws IOException {
              return raw.read();
            }

            @Override
            public int read(byte[] b, int offset, int length) throws IOException {
              int n = raw.read(b, offset, Math.min(length, 8_192));
              read[0] += Math.max(0, n);
              long due = begin + read[0] * 1_000_000_000L / BYTES_PER_SECOND;
              Lab.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000L));
              return n;
            }
          };
      Lab.readBody(slow, m, true);
      boolean all = m.complete && m.body.length == size;
      if (all) {
        whole.incrementAndGet();
      } else {
        cutAt.put(id, lab.seconds());
      }
      lab.log(
          "caller " + id + ": " + m.first + ", " + m.body.length + " of " + size + " bytes, "
              + (all ? "whole" : "cut: " + m.ending));
    } catch (IOException e) {
      cutAt.put(id, lab.seconds());
      lab.log("caller " + id + ": " + e);
    }
  }
}
