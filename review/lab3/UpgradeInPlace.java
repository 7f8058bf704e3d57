import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of ten servers lose their path to the store and start again behind the cut, one after the
 * other, under the ids that they had and with a newer software version. Checks ORDER: at most two streams hold events of
 * two software versions.
 */
final class UpgradeInPlace {
  private static final String SERVICE = "drapery-assistant";
  private static final int SERVERS = 10;
  private static final int EVENTS = 50;
  private static final long GAP_MILLIS = 100;
  private static final int ALLOWED = 2;

  private UpgradeInPlace() {}

  public static void main(String[] args) throws Exception {
    int code = 2;
    try (Lab lab = new Lab(args[0])) {
      code = run(lab);
    } finally {
      System.exit(code);
    }
  }

  private static int run(Lab lab) throws IOException {
    List<String> zones = List.of("hobart-a", "hobart-a", "hobart-a");
    Lab.Handler handler =
        (server, r, e) -> {
          String last = r.header("last-event-id");
          String version = server.version;
          int first = last == null ? 1 : Integer.parseInt(last) + 1;
          if (first > 1) {
            lab.log("stream %s goes on at %s (%s) from event %d", r.id(), server.id, version, first);
          }
          Lab.sleep(60);
          e.beginStream();
          for (int i = first; i <= EVENTS; i++) {
            e.event(i, version + " of " + server.id);
            Lab.sleep(GAP_MILLIS);
          }
          e.endStream();
        };
    for (int i = 0; i < SERVERS; i++) {
      lab.new Backend("i-" + i, SERVICE, zones.get(0), 64, 10 + i, handler).start();
    }
    lab.configure(
        1,
        List.of(Lab.modelService(SERVICE, 64)),
        List.of(
            Lab.route(
                "crew-query",
                "streaming",
                SERVICE,
                3,
                12_000,
                ",\"can-resume\":true,\"slo-ms\":400,\"gap-aim-ms\":250")));
    lab.startRouters(zones);
    if (Lab.troubled()) {
      lab.threads.execute(() -> upgrade(lab));
    }
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    Map<String, Set<String>> joined = new ConcurrentHashMap<>();
    Load.at(
        lab,
        24,
        14,
        n -> {
          Lab.Router router = lab.routers.get(n % 3);
          String id = lab.nextRequestId();
          sent.incrementAndGet();
          Lab.Answer a =
              lab.send(
                  router,
                  id,
                  "crew-query",
                  String.format(
                      Locale.ROOT,
                      "X-Wigeonwharf-Model: m\r\nX-Wigeonwharf-Token-Count: 600,300\r\n"
                          + "X-Wigeonwharf-Prompt-Prefix: 5e%d00001:200,%s:400\r\n",
                      n % 7,
                      id),
                  12_000,
                  4_000);
          served.addAndGet(a.isSuccess() ? 1 : 0);
          Set<String> versions = new TreeSet<>();
          for (String line : a.body.split("\n")) {
            if (line.startsWith("data: ")) {
              versions.add(line.substring(6).split(" ")[0]);
            }
          }
          lab.log("stream %s at %s: %s, events of %s", id, router, a, versions);
          if (versions.size() > 1) {
            joined.put(id, versions);
            lab.log("BROKEN stream %s holds events of %s", id, versions);
          }
        });
    lab.say(
        "ORDER: %d streams, %d served whole, %d hold events of two software versions (allowed %d)",
        sent.get(), served.get(), joined.size(), ALLOWED);
    if (served.get() < sent.get() / 2) {
      return 2;
    }
    return joined.size() > ALLOWED ? 1 : 0;
  }

  private static void upgrade(Lab lab) {
    Lab.sleep(7_000);
    List<Lab.Backend> busiest = new ArrayList<>(lab.backends);
    busiest.sort(Comparator.comparingInt(b -> -b.running.get()));
    Lab.Backend first = busiest.get(2);
    Lab.Backend second = busiest.get(0);
    for (Lab.Backend b : List.of(first, second)) {
      b.publish();
      b.cutFromStore = true;
    }
    for (Lab.Backend b : lab.backends) {
      lab.log("%s runs %d streams", b.id, b.running.get());
    }
    lab.log("servers %s and %s lose their path to the store", first.id, second.id);
    restart(lab, first);
    Lab.sleep(2_000);
    restart(lab, second);
    Lab.sleep(1_400);
    lab.log("servers %s and %s reach the store again", first.id, second.id);
    for (Lab.Backend b : List.of(first, second)) {
      b.cutFromStore = false;
      b.forgetPublished();
      b.publish();
    }
  }

  private static void restart(Lab lab, Lab.Backend server) {
    server.crash();
    Lab.sleep(800);
    server.version = "v2";
    try {
      server.start();
    } catch (IOException e) {
      lab.say("server %s can't start: %s", server.id, e);
    }
  }
}
