import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A router freezes shortly before the first server of a new software version is published. Its
 * callers take their streams up again at the other routers. Checks LOST: of 12 or more streams that
 * are taken up while two servers of their version serve, the share that goes on is at least half of
 * the share of new streams that begin.
 */
final class FrozenAtRelease {
  private static final String SERVICE = "drapery-assistant";
  private static final int EVENTS = 70;
  private static final long GAP_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 12_000;

  /** Time without an event after which a caller gives up an attempt. */
  private static final int SILENCE_MILLIS = 2_000;

  private static final double FREEZE_SECONDS = 10;
  private static final double RELEASE_SECONDS = 10.5;
  private static final double WAKE_SECONDS = 14;
  private static final int MIN_TAKEN_UP = 12;
  private static final int RETRIES = 2;

  private FrozenAtRelease() {}

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
    for (int i = 0; i < 3; i++) {
      lab.new Backend("i-" + i, SERVICE, zones.get(i), 64, 10 + i, handler).start();
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
    Lab.Router frozen = lab.routers.get(0);
    lab.threads.execute(() -> release(lab, handler, begin));
    if (Lab.troubled()) {
      lab.threads.execute(() -> freeze(lab, frozen, begin));
    }
    Counts counts = new Counts();
    Load.at(lab, 12, 16, n -> watch(lab, n, begin, counts));
    if (Lab.troubled()) {
      lab.log("frozen router alive: %s", frozen.isAlive());
    }
    return counts.judge(lab);
  }

  private static void waitUntil(Lab lab, double seconds) {
    Lab.sleep((long) Math.max(0, (seconds - lab.seconds()) * 1_000));
  }

  private static void freeze(Lab lab, Lab.Router router, double begin) {
    try {
      waitUntil(lab, begin + FREEZE_SECONDS);
      router.signal("STOP");
      waitUntil(lab, begin + WAKE_SECONDS);
      router.signal("CONT");
    } catch (IOException e) {
      lab.say("signal failed: %s", e);
    }
  }

  private static void release(Lab lab, Lab.Handler handler, double begin) {
    try {
      waitUntil(lab, begin + RELEASE_SECONDS);
      Lab.Backend b = lab.new Backend("i-3", SERVICE, "hobart-a", 64, 13, handler);
      b.version = "v2";
      b.start();
    } catch (IOException e) {
      lab.say("server can't start: %s", e);
    }
  }

  /** Receives one stream, taking it up again where it stops. */
  private static void watch(Lab lab, int n, double begin, Counts counts) {
    String firstId = lab.nextRequestId();
    String id = firstId;
    double startedAt = lab.seconds();
    int router = n % 3;
    int last = 0;
    for (int attempt = 0; attempt <= RETRIES; attempt++) {
      long left = DEADLINE_MILLIS - (long) ((lab.seconds() - startedAt) * 1_000);
      if (left < 500) {
        return;
      }
      Lab.Router r = lab.routers.get(router);
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
      double sentAt = lab.seconds() - begin;
      Lab.Answer a = lab.send(r, id, "crew-query", lines, left, SILENCE_MILLIS);
      int events = a.body.split("data: ", -1).length - 1;
      lab.log("attempt %s at %s after event %d: %s, %d events", id, r, last, a, events);
      counts.count(firstId, last > 0, sentAt, events > 0, router);
      last += events;
      if (a.isSuccess() && last >= EVENTS) {
        counts.whole.incrementAndGet();
        return;
      }
      String retryAfter = a.headers.get("retry-after");
      Lab.sleep(retryAfter == null ? 20 : (long) (Double.parseDouble(retryAfter) * 1_000));
      router = 1 + (router + attempt) % 2;
      id = lab.nextRequestId();
    }
  }

  /** Counts attempts at the routers that were not frozen. */
  private static final class Counts {
    private final Map<String, Boolean> takenUp = new ConcurrentHashMap<>();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();

    void count(String stream, boolean resumed, double sentAt, boolean events, int router) {
      if (router == 0) {
        return;
      }
      if (resumed) {
        takenUp.merge(stream, events, Boolean::logicalOr);
      } else if (sentAt >= FREEZE_SECONDS) {
        asked.incrementAndGet();
        begun.addAndGet(events ? 1 : 0);
      }
    }

    int judge(Lab lab) {
      double newShare = asked.get() == 0 ? 0 : (double) begun.get() / asked.get();
      int goneOn = (int) takenUp.values().stream().filter(on -> on).count();
      double share = takenUp.isEmpty() ? 1 : (double) goneOn / takenUp.size();
      lab.say(
          "LOST: %d streams taken up, %d of them went on; %d new streams, %d began; %d whole",
          takenUp.size(), goneOn, asked.get(), begun.get(), whole.get());
      if (newShare < 0.5) {
        return 2;
      }
      if (Lab.troubled() && takenUp.size() < MIN_TAKEN_UP) {
        return 2;
      }
      return takenUp.size() >= MIN_TAKEN_UP && share < newShare / 2 ? 1 : 0;
    }
  }
}
