import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All routers are killed at once near the end of a release, and the last servers of the old version
 * leave before the routers are back. Checks ORDER: at most two streams hold events of two software
 * versions, in one answer or over their callers' attempts.
 */
final class RestartAfterRelease {
  private static final String SERVICE = "drapery-assistant";
  private static final int EVENTS = 80;
  private static final long GAP_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 12_000;
  private static final int SILENCE_MILLIS = 2_000;
  private static final int RETRIES = 3;

  /** Time at which the servers of the old version report that they leave. */
  private static final double DRAIN_SECONDS = 18;

  private static final double KILL_SECONDS = 21.5;
  private static final double LEAVE_SECONDS = 22;
  private static final double BACK_SECONDS = 23.5;
  private static final int ALLOWED = 2;

  private RestartAfterRelease() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Lab lab = new Lab(args[0])) {
      code = run(lab);
    } finally {
      System.exit(code);
    }
  }

  private static int run(Lab lab) throws IOException {
    List<String> zones = List.of("hobart-a", "launceston-a", "burnie-a");
    Lab.Handler handler =
        (server, r, e) -> {
          String last = r.header("last-event-id");
          int first = last == null ? 1 : Integer.parseInt(last) + 1;
          lab.log(
              "stream %s runs at %s (%s) from event %d", r.id(), server.id, server.version, first);
          Lab.sleep(60);
          e.beginStream();
          for (int i = first; i <= EVENTS; i++) {
            e.event(i, server.version + " of " + server.id);
            Lab.sleep(GAP_MILLIS);
          }
          e.endStream();
        };
    for (int i = 0; i < 6; i++) {
      Lab.Backend b = lab.new Backend("i-" + i, SERVICE, zones.get(i % 3), 64, 10 + i, handler);
      b.version = i < 3 ? "v2" : "v1";
      b.start();
    }
    lab.configure(
        1,
        List.of(Lab.modelService(SERVICE, 64)),
        List.of(
            Lab.route(
                "crew-query",
                "streaming",
                SERVICE,
                2,
                DEADLINE_MILLIS,
                ",\"can-resume\":true,\"slo-ms\":400,\"gap-aim-ms\":250")));
    lab.startRouters(zones);
    double begin = lab.seconds();
    lab.threads.execute(() -> leave(lab, begin));
    if (Lab.troubled()) {
      lab.threads.execute(() -> killAll(lab, begin));
    }
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger whole = new AtomicInteger();
    Map<String, Set<String>> joined = new ConcurrentHashMap<>();
    Load.at(lab, 12, 25, n -> watch(lab, n, sent, whole, joined));
    lab.say(
        "ORDER: %d streams, %d whole, %d hold events of two software versions (allowed %d)",
        sent.get(), whole.get(), joined.size(), ALLOWED);
    if (whole.get() < sent.get() / 2) {
      return 2;
    }
    return joined.size() > ALLOWED ? 1 : 0;
  }

  private static void waitUntil(Lab lab, double seconds) {
    Lab.sleep((long) Math.max(0, (seconds - lab.seconds()) * 1_000));
  }

  private static void killAll(Lab lab, double begin) {
    try {
      waitUntil(lab, begin + KILL_SECONDS);
      for (Lab.Router r : lab.routers) {
        r.signal("KILL");
      }
      waitUntil(lab, begin + BACK_SECONDS);
      for (Lab.Router r : lab.routers) {
        r.start();
      }
    } catch (IOException e) {
      lab.say("restart failed: %s", e);
    }
  }

  /** The servers of the old version drain, and leave once they have no more streams or later. */
  private static void leave(Lab lab, double begin) {
    waitUntil(lab, begin + DRAIN_SECONDS);
    for (Lab.Backend b : lab.backends) {
      if (b.version.equals("v1")) {
        b.state = "draining";
        b.publish();
      }
    }
    waitUntil(lab, begin + LEAVE_SECONDS);
    for (Lab.Backend b : lab.backends) {
      while (b.version.equals("v1") && b.running.get() > 0) {
        Lab.sleep(50);
      }
    }
    for (Lab.Backend b : lab.backends) {
      if (b.version.equals("v1")) {
        b.end();
        lab.store.delete("servers/" + b.id);
        lab.log("server %s has left", b.id);
      }
    }
  }

  /** Receives one stream, taking it up again where it stops. */
  private static void watch(
      Lab lab, int n, AtomicInteger sent, AtomicInteger whole, Map<String, Set<String>> joined) {
    String firstId = lab.nextRequestId();
    String id = firstId;
    double startedAt = lab.seconds();
    int last = 0;
    Set<String> versions = new TreeSet<>();
    sent.incrementAndGet();
    for (int attempt = 0; attempt <= RETRIES; ) {
      long left = DEADLINE_MILLIS - (long) ((lab.seconds() - startedAt) * 1_000);
      if (left < 500) {
        return;
      }
      Lab.Router r = lab.routers.get((n + attempt) % 3);
      String lines =
          String.format(
              Locale.ROOT,
              "X-Wigeonwharf-Model: m\r\nX-Wigeonwharf-Token-Count: 600,300\r\n"
                  + "X-Wigeonwharf-Prompt-Prefix: 5e%d00001:200,%s:400\r\n",
              n % 7,
              firstId);
      if (last > 0) {
        lines += "Last-Event-Id: " + last + "\r\nResumes: " + firstId + "\r\n";
      }
      Lab.Answer a = lab.send(r, id, "crew-query", lines, left, SILENCE_MILLIS);
      int events = a.body.split("data: ", -1).length - 1;
      for (String line : a.body.split("\n")) {
        if (line.startsWith("data: ")) {
          versions.add(line.substring(6).split(" ")[0]);
        }
      }
      boolean refused = a.error.startsWith("Connection refused");
      if (!refused) {
        lab.log("attempt %s at %s after event %d: %s, %d events", id, r, last, a, events);
      }
      last += events;
      if (versions.size() > 1) {
        joined.put(firstId, versions);
        lab.log("BROKEN stream %s holds events of %s", firstId, versions);
      }
      if (a.isSuccess() && last >= EVENTS) {
        whole.incrementAndGet();
        return;
      }
      String retryAfter = a.headers.get("retry-after");
      Lab.sleep(retryAfter == null ? 200 : (long) (Double.parseDouble(retryAfter) * 1_000));
      attempt += refused ? 0 : 1;
      id = lab.nextRequestId();
    }
  }
}
