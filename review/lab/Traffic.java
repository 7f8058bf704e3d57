import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests on a kept channel to one router, one after the other, until it is stopped. */
final class Traffic extends Thread {
  /** One request with the time at which it was sent and the status or end that it got. */
  record Sent(double at, String router, String id, String result) {}

  private static final AtomicInteger NUMBER = new AtomicInteger();

  final List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
  private final Record record;
  private final Router router;
  private final String method;
  private final String path;
  private final String headers;
  private final int pauseMillis;
  private volatile boolean stopped;

  Traffic(
      Record record, Router router, String method, String path, String headers, int pauseMillis) {
    this.record = record;
    this.router = router;
    this.method = method;
    this.path = path;
    this.headers = headers;
    this.pauseMillis = pauseMillis;
    setDaemon(true);
    start();
  }

  static String newId() {
    return "q%06d".formatted(NUMBER.incrementAndGet());
  }

  @Override
  public void run() {
    Client c = null;
    while (!stopped) {
      String id = newId();
      double at = record.now();
      String result;
      try {
        if (c == null) {
          c = new Client(router.front);
        }
        c.send(Client.head(method, path, "app.example", id, headers));
        result = c.result(5_000);
      } catch (IOException e) {
        result = "reset";
      }
      sent.add(new Sent(at, router.name, id, result));
      record.add("client: %s sent to %s at %.1f, got %s", id, router.name, at, result);
      if (!result.equals("200") && c != null) {
        try {
          c.close();
        } catch (IOException e) {
          // Closed already.
        }
        c = null;
      }
      try {
        sleep(pauseMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  void finish() throws InterruptedException {
    stopped = true;
    join(6_000);
  }
}
