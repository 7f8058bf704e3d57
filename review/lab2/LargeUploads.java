import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers of one zone send long requests at once, each within the configured limit. Other
 * callers book on kept connections all the while, and have to get their final answers.
 */
final class LargeUploads {
  private static final int BODY_BYTES = 4_000_000;
  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int DEADLINE_MILLIS = 4_000;

  /** Callers of one zone that send long requests one after the other. */
  private static final int USUAL_CALLERS = 26;

  /** The same while many more come at once: 2.4 times as many. */
  private static final int BURST_CALLERS = 62;

  private final Lab lab;
  private final List<Lab.Router> routers = new ArrayList<>();
  private final boolean[] inRotation = {true, true, true};
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger uploadsAnswered = new AtomicInteger();
  private final AtomicInteger uploadsClosed = new AtomicInteger();
  private final AtomicInteger uploadsUnanswered = new AtomicInteger();
  private final AtomicInteger bookings = new AtomicInteger();
  private final AtomicInteger atTimeout = new AtomicInteger();
  private final AtomicInteger afterTimeout = new AtomicInteger();

  private LargeUploads(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new LargeUploads(lab).body());
  }

  private void body() throws Exception {
    Lab.Store store = lab.store();
    List<String> zones = List.of("zone-a", "zone-b", "zone-c");
    for (int i = 0; i < 3; i++) {
      lab.backend("i-" + i, "bookings", zones.get(i), 6, 0, LargeUploads::answer)
          .publish(store, "ready");
      lab.backend("i-1" + i, "photos", zones.get(i), 20, 0, LargeUploads::answer)
          .publish(store, "ready");
    }
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(
                Lab.route("book", "unsafe", TIMEOUT_MILLIS, 250, "bookings", 1, false),
                Lab.route("photo", "unsafe", 15_000, 2_000, "photos", 1, false)),
            List.of(Lab.service("bookings"), Lab.service("photos"))));
    for (int i = 0; i < 3; i++) {
      routers.add(lab.router("front-" + i, zones.get(i)));
    }
    List<String> seeds = routers.stream().map(Lab.Router::peers).toList();
    for (Lab.Router r : routers) {
      r.start(store, seeds, zones);
    }
    for (Lab.Router r : routers) {
      if (!r.awaitReady(20_000)) {
        lab.finish(2, r.name + " did not become ready");
      }
    }
    Lab.thread(this::pollReadiness);
    for (int i = 0; i < 20; i++) {
      int n = i;
      Lab.thread(() -> book(n));
    }
    Lab.sleep(4_000);
    lab.log(USUAL_CALLERS + " callers of zone-a send requests of " + BODY_BYTES + " bytes");
    long end = System.nanoTime() + 52_000_000_000L;
    startUploads(0, USUAL_CALLERS, end);
    for (int burst = 0; burst < 3; burst++) {
      Lab.sleep(4_000);
      logCounts();
      if (Lab.trouble()) {
        lab.log("burst: " + BURST_CALLERS + " callers for 9 s");
        long until = System.nanoTime() + 9_000_000_000L;
        startUploads(
            100 * (burst + 1), BURST_CALLERS - USUAL_CALLERS, until - end > 0 ? end : until);
      }
      Lab.sleep(9_000);
      logCounts();
      Lab.sleep(4_000);
    }
    Lab.sleep(1_000);
    lab.log("the long requests are over");
    Lab.sleep(15_000);
    logCounts();
    stopped.set(true);
    Lab.Router r = routers.get(0);
    lab.log("front-0: process alive " + r.isAlive() + ", ready " + r.isReady());
    boolean broken = afterTimeout.get() >= 8 && 2 * afterTimeout.get() > atTimeout.get();
    lab.finish(
        broken ? 1 : 0,
        atTimeout + " bookings of front-0 had no answer at the route's timeout, " + afterTimeout
            + " of them none half a second later");
  }

  private void logCounts() {
    lab.log(
        "bookings of front-0 " + bookings + ", unanswered at the timeout " + atTimeout
            + ", half a second later " + afterTimeout + "; long requests answered "
            + uploadsAnswered + ", closed unread " + uploadsClosed + ", unanswered "
            + uploadsUnanswered + "; front-0 in rotation " + inRotation[0]);
  }

  private static void answer(
      Lab.Backend server, Socket socket, java.io.InputStream in, Lab.Message request)
      throws Exception {
    Lab.readBody(in, request, false);
    if (request.complete) {
      Lab.sleep(40);
      socket.getOutputStream().write(Lab.okAnswer(request, "done"));
    }
  }

  /** Takes a router out of rotation after two misses, as the platform does. */
  private void pollReadiness() {
    int[] misses = new int[3];
    while (!stopped.get()) {
      for (int i = 0; i < 3; i++) {
        boolean ready = routers.get(i).isReady();
        misses[i] = ready ? 0 : misses[i] + 1;
        if (inRotation[i] != misses[i] < 2) {
          inRotation[i] = misses[i] < 2;
          lab.log(routers.get(i).name + (inRotation[i] ? " back in" : " out of") + " rotation");
        }
      }
      Lab.sleep(1_000);
    }
  }

  private Lab.Router router() {
    return routers.get(inRotation[0] ? 0 : 1);
  }

  /** Books twice a second on a kept connection; a caller leaves at its own deadline. */
  private void book(int caller) {
    for (int k = 0; !stopped.get(); ) {
      Lab.Router r = router();
      try (Socket s = r.connect()) {
        OutputStream out = s.getOutputStream();
        var in = new BufferedInputStream(s.getInputStream());
        while (!stopped.get()) {
          String id = String.format("b%07x%08x", caller, k++);
          out.write(Lab.ascii(Lab.requestHead("POST", "/book/x", id, DEADLINE_MILLIS, 0)));
          out.flush();
          if (r == routers.get(0)) {
            bookings.incrementAndGet();
          }
          if (!await(s, in, r, id)) {
            break;
          }
          Lab.Message m = Lab.readHead(in);
          if (m == null) {
            lab.log("booking " + id + " at " + r.name + ": closed without an answer");
            break;
          }
          Lab.readBody(in, m, true);
          if ("close".equalsIgnoreCase(m.header("connection"))) {
            break;
          }
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
        if (in.read() < 0) {
          return true;
        }
        in.reset();
        s.setSoTimeout(10_000);
        return true;
      } catch (java.net.SocketTimeoutException e) {
        if (r == routers.get(0) && i < 2) {
          (i == 0 ? atTimeout : afterTimeout).incrementAndGet();
        }
        if (i == 1) {
          lab.log("booking " + id + " at " + r.name + ": no answer half a second past the timeout");
        }
      }
    }
    return false;
  }

  private void startUploads(int firstCaller, int callers, long until) {
    for (int i = 0; i < callers; i++) {
      int n = firstCaller + i;
      Lab.thread(() -> upload(n, until));
    }
  }

  private void upload(int caller, long until) {
    byte[] body = new byte[BODY_BYTES];
    for (int k = 0; System.nanoTime() < until; k++) {
      if (!inRotation[0]) {
        // The platform sends new connections to other routers.
        Lab.sleep(500);
        continue;
      }
      String id = String.format("a%07x%08x", caller, k);
      try {
        Lab.Message m = Lab.call(routers.get(0), "POST", "/photo/x", id, 15_000, body);
        (m == null ? uploadsClosed : uploadsAnswered).incrementAndGet();
      } catch (java.net.SocketTimeoutException e) {
        uploadsUnanswered.incrementAndGet();
      } catch (IOException e) {
        uploadsClosed.incrementAndGet();
      }
      Lab.sleep(200);
    }
  }
}
