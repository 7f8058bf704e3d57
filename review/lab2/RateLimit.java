import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** One of several servers names a Server-Limit; counts what it gets in any four seconds. */
final class RateLimit {
  static final int WINDOW_SECONDS = 4;

  private final Lab lab;
  private final String limit;
  private final int workMillis;
  private final List<Double> arrivals = Collections.synchronizedList(new ArrayList<>());
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger elsewhere = new AtomicInteger();
  private volatile boolean stopped;

  /**
   * Creates the driver.
   *
   * @param limit the text of the header Server-Limit
   * @param workMillis time that the server in need takes for a request
   */
  RateLimit(Lab lab, String limit, int workMillis) {
    this.lab = lab;
    this.limit = limit;
    this.workMillis = workMillis;
  }

  void answerInNeed(Lab.Backend server, Socket socket, java.io.InputStream in, Lab.Message request)
      throws Exception {
    arrivals.add(lab.seconds());
    Lab.sleep(workMillis);
    socket.getOutputStream().write(Lab.okAnswer(request, "done", "Server-Limit: " + limit));
  }

  void answer(Lab.Backend server, Socket socket, java.io.InputStream in, Lab.Message request)
      throws Exception {
    elsewhere.incrementAndGet();
    Lab.sleep(20);
    socket.getOutputStream().write(Lab.okAnswer(request, "done"));
  }

  /** Sends requests at a mean rate, each on a new connection of its own, to random routers. */
  void sendAll(List<Lab.Router> routers, String path, double perSecond) {
    ExecutorService pool =
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(null, r, "caller", 256 * 1024);
              t.setDaemon(true);
              return t;
            });
    Lab.thread(
        () -> {
          Random random = new Random(1);
          long next = System.nanoTime();
          for (int n = 0; !stopped; n++) {
            next += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
            LockSupport.parkNanos(next - System.nanoTime());
            Lab.Router r = routers.get(random.nextInt(routers.size()));
            String id = String.format("%016x", 0x10000000 + n);
            pool.execute(() -> send(r, path, id));
          }
        });
  }

  private void send(Lab.Router r, String path, String id) {
    try {
      Lab.Message m = Lab.call(r, "GET", path, id, 2_000, new byte[0]);
      (m == null ? failed : m.status() == 200 ? served : m.status() == 503 ? refused : failed)
          .incrementAndGet();
    } catch (IOException e) {
      failed.incrementAndGet();
    }
  }

  void stop() {
    stopped = true;
  }

  void logCounts(String when) {
    lab.log(
        when + ": answered " + served + ", refused with 503 " + refused + ", failed " + failed
            + "; arrived at the server in need " + arrivals.size() + ", elsewhere " + elsewhere);
  }

  /** Ends the case with the most arrivals in four seconds, from contact-ms after the first. */
  void finish(double contactSeconds) {
    List<Double> times = new ArrayList<>(arrivals);
    Collections.sort(times);
    if (times.isEmpty()) {
      lab.finish(2, "the server in need got no request");
    }
    int most = 0;
    double at = 0;
    for (int i = 0; i < times.size(); i++) {
      if (times.get(i) >= times.get(0) + contactSeconds) {
        int j = i;
        while (j < times.size() && times.get(j) < times.get(i) + WINDOW_SECONDS) {
          j++;
        }
        if (j - i > most) {
          most = j - i;
          at = times.get(i);
        }
      }
    }
    double allowed = 1.5 * WINDOW_SECONDS * Double.parseDouble(limit) + 5;
    lab.finish(
        most > allowed ? 1 : 0,
        String.format(
            "Server-Limit %s: at most %.1f arrivals in 4 s are allowed, %d came from %.3f on",
            limit, allowed, most, at));
  }
}
