import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;

/**
 * Servers turn slow and pause within answers that are longer than the router's buffer. A caller with
 * a kept connection must get its whole answer.
 */
final class SlowAnswer {
  private static final int ANSWER_BYTES = 400_000;
  private static final int FIRST_BYTES = 300_000;
  private static final int REQUESTS = 8;

  /** Pause within an answer; slow servers take four times as long. */
  private static final int PAUSE_MILLIS = 250;

  private final Lab lab;
  private final byte[] answer = new byte[ANSWER_BYTES];
  private volatile boolean slow;
  private volatile boolean stopped;

  private SlowAnswer(Lab lab) {
    this.lab = lab;
    Arrays.fill(answer, (byte) 'a');
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new SlowAnswer(lab).body());
  }

  private void body() throws Exception {
    Lab.Store store = lab.store();
    for (int i = 0; i < 3; i++) {
      lab.backend("i-" + i, "bookings", "zone-a", 20, 0, this::answer).publish(store, "ready");
    }
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(
                Lab.route("list", "safe", 15_000, 250, "bookings", 2, false),
                Lab.route("look", "safe", 4_000, 250, "bookings", 2, false)),
            List.of(Lab.service("bookings"))));
    Lab.Router r = lab.router("front-0", "zone-a");
    r.start(store, List.of(r.peers()), List.of("zone-a"));
    if (!r.awaitReady(20_000)) {
      lab.finish(2, "the router did not become ready");
    }
    for (int i = 0; i < 4; i++) {
      int n = i;
      Lab.thread(() -> lookUp(r, n));
    }
    Lab.sleep(6_000);
    slow = Lab.trouble();
    lab.log(slow ? "the servers turn slow" : "the servers stay as they are");
    int cut = 0;
    for (int i = 0; i < REQUESTS; i++) {
      try (Socket s = r.connect()) {
        s.setSoTimeout(16_000);
        InputStream in = new BufferedInputStream(s.getInputStream());
        ask(s, in, "/look/x", String.format("6a%014x", i));
        String id = String.format("6b%014x", i);
        Lab.Message m = ask(s, in, "/list/x", id);
        boolean whole = m != null && m.complete && Arrays.equals(m.body, answer);
        lab.log(
            "caller " + id + " on a kept connection: "
                + (m == null ? "no answer" : m.first + ", " + m.body.length + " bytes, ")
                + (whole ? "whole" : "cut: " + (m == null ? "" : m.ending)));
        if (!whole) {
          cut++;
        }
      }
    }
    stopped = true;
    lab.finish(
        cut > 3 ? 1 : 0,
        cut + " of " + REQUESTS + " connections were closed without a whole answer");
  }

  private static Lab.Message ask(Socket s, InputStream in, String path, String id)
      throws Exception {
    s.getOutputStream().write(Lab.ascii(Lab.requestHead("GET", path, id, 15_000, -1)));
    Lab.Message m = Lab.readHead(in);
    if (m != null) {
      Lab.readBody(in, m, true);
    }
    return m;
  }

  /** Keeps up the usual traffic of short requests. */
  private void lookUp(Lab.Router r, int caller) {
    for (int k = 0; !stopped; k++) {
      try {
        Lab.call(r, "GET", "/look/x", String.format("6c%06x%08x", caller, k), 4_000, new byte[0]);
      } catch (Exception e) {
        lab.log("short request failed: " + e);
      }
      Lab.sleep(150);
    }
  }

  private void answer(Lab.Backend server, Socket socket, InputStream in, Lab.Message request)
      throws Exception {
    if (request.first.contains("/look/")) {
      Lab.sleep(slow ? 160 : 40);
      socket.getOutputStream().write(Lab.okAnswer(request, "done"));
      return;
    }
    String id = request.header("x-wigeonwharf-request-id");
    OutputStream out = socket.getOutputStream();
    out.write(
        Lab.ascii(
            "HTTP/1.1 200 OK\r\nX-Wigeonwharf-Request-Id: " + id
                + "\r\nX-Wigeonwharf-Server-Seal: 3e1b.07." + id + "\r\nContent-Length: "
                + ANSWER_BYTES + "\r\nConnection: close\r\n\r\n"));
    out.write(answer, 0, FIRST_BYTES);
    out.flush();
    Lab.sleep(slow ? 4 * PAUSE_MILLIS : PAUSE_MILLIS);
    out.write(answer, FIRST_BYTES, ANSWER_BYTES - FIRST_BYTES);
    out.flush();
    lab.log(server.id + " has sent the whole answer to " + id);
  }
}
