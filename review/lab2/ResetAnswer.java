import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;

/**
 * A server answers a long request before it has read it, without a length, and its channel is reset
 * midway. The caller must not get the part as a complete answer.
 */
final class ResetAnswer {
  private static final int REQUESTS = 6;
  private static final int LONG_BODY_BYTES = 4_000_000;
  private static final int EVENTS = 6;

  private final Lab lab;
  private final byte[] plainAnswer = new byte[40_000];

  private ResetAnswer(Lab lab) {
    this.lab = lab;
    Arrays.fill(plainAnswer, (byte) 'a');
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new ResetAnswer(lab).body());
  }

  private void body() throws Exception {
    Lab.Store store = lab.store();
    for (int i = 0; i < 2; i++) {
      lab.backend("i-" + i, "photos", "zone-a", 6, 16_384, this::answer).publish(store, "ready");
    }
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(
                Lab.route("photo", "unsafe", 15_000, 2_000, "photos", 1, false),
                Lab.route("label", "streaming", 15_000, 2_000, "photos", 1, false)),
            List.of(Lab.service("photos"))));
    Lab.Router r = lab.router("front-0", "zone-a");
    r.start(store, List.of(r.peers()), List.of("zone-a"));
    if (!r.awaitReady(20_000)) {
      lab.finish(2, "the router did not become ready");
    }
    int wrong = 0;
    for (int i = 0; i < REQUESTS; i++) {
      boolean stream = i % 2 == 1;
      String id = String.format("5c%014x", i);
      String path = stream ? "/label/x" : "/photo/x";
      lab.log("caller sends " + id + " to " + path + " with " + LONG_BODY_BYTES + " bytes");
      Lab.Message m = Lab.call(r, "POST", path, id, 10_000, new byte[LONG_BODY_BYTES]);
      byte[] whole = stream ? Lab.ascii(events(0, EVENTS)) : plainAnswer;
      if (m == null) {
        lab.log("caller got no answer to " + id);
        continue;
      }
      boolean success = m.status() == 200 && m.complete;
      lab.log(
          "caller got " + m.first + ", seal " + m.header("x-wigeonwharf-server-seal") + ", "
              + m.body.length + " of " + whole.length + " bytes, "
              + (m.complete ? "complete" : "incomplete: " + m.ending));
      if (success && !Arrays.equals(m.body, whole)) {
        wrong++;
      }
    }
    lab.finish(
        wrong > 0 ? 1 : 0,
        wrong + " of " + REQUESTS + " requests got a success that looks complete and isn't whole");
  }

  private static String events(int first, int end) {
    StringBuilder text = new StringBuilder();
    for (int i = first; i < end; i++) {
      text.append("id: ").append(i + 1).append("\ndata: piece ").append(i + 1).append("\n\n");
    }
    return text.toString();
  }

  private void answer(Lab.Backend server, Socket socket, InputStream in, Lab.Message request)
      throws Exception {
    String id = request.header("x-wigeonwharf-request-id");
    boolean stream = request.first.contains("/label/");
    byte[] whole = stream ? Lab.ascii(events(0, EVENTS)) : plainAnswer;
    int part = stream ? events(0, EVENTS / 2).length() : whole.length / 2;
    lab.log(server.id + " begins to answer " + id);
    OutputStream out = socket.getOutputStream();
    out.write(
        Lab.ascii(
            "HTTP/1.1 200 OK\r\nX-Wigeonwharf-Request-Id: " + id
                + "\r\nX-Wigeonwharf-Server-Seal: 3e1b.07." + id
                + (stream ? "\r\nContent-Type: text/event-stream" : "")
                + "\r\nConnection: close\r\n\r\n"));
    out.write(whole, 0, part);
    out.flush();
    Lab.sleep(300);
    if (Lab.trouble()) {
      lab.log(server.id + " is reset after " + part + " of " + whole.length + " bytes");
      Lab.reset(socket);
      return;
    }
    out.write(whole, part, whole.length - part);
    out.flush();
    Lab.readBody(in, request, false);
    lab.log(server.id + " has answered " + id + " and read " + request.body.length + " bytes");
  }
}
