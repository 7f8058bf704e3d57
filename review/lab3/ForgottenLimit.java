import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that names a limit in all its answers loses its path to the store, so that its entry
 * expires, and is published again. Checks LIMIT: requests in any 4 s from {@code contact-ms} after
 * it first named the limit, counted per machine from half a second after that machine passed on an
 * answer with it.
 */
final class ForgottenLimit {
  private static final String SERVICE = "venue-bookings";
  private static final double LIMIT = 1;
  private static final double CONTACT_SECONDS = 4;
  private static final double WINDOW_SECONDS = 4;
  private static final int WORK_MILLIS = 500;

  private record Arrival(double at, String router) {}

  private ForgottenLimit() {}

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
    List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    Map<String, String> routerOf = new ConcurrentHashMap<>();
    Map<String, Double> passedOn = new ConcurrentHashMap<>();
    double[] firstNamed = {-1};
    Lab.Handler handler =
        (server, r, e) -> {
          boolean limited = server.id.equals("i-0");
          if (limited) {
            arrivals.add(new Arrival(lab.seconds(), routerOf.get(r.id())));
            e.addHeaders("Server-Limit: " + LIMIT + "\r\n");
          }
          lab.log("run %s at %s from %s", r.id(), server.id, routerOf.get(r.id()));
          Lab.sleep(WORK_MILLIS);
          if (limited && firstNamed[0] < 0) {
            firstNamed[0] = lab.seconds();
          }
          e.answer(200, "", "done", true);
        };
    for (int i = 0; i < 5; i++) {
      lab.new Backend("i-" + i, SERVICE, zones.get(0), 48, 10 + i, handler).start();
    }
    configure(lab, 1);
    lab.startRouters(zones);
    Lab.Backend limited = lab.backends.get(0);
    if (Lab.troubled()) {
      lab.threads.execute(
          () -> {
            Lab.sleep(12_000);
            lab.log("server %s loses its path to the store", limited.id);
            limited.cutFromStore = true;
            Lab.sleep(5_000);
            lab.log("server %s reaches the store again", limited.id);
            limited.cutFromStore = false;
            limited.forgetPublished();
            limited.publish();
          });
    }
    lab.threads.execute(
        () -> {
          for (int version = 2; ; version++) {
            Lab.sleep(1_000);
            configure(lab, version);
          }
        });
    AtomicInteger served = new AtomicInteger();
    AtomicInteger sent = new AtomicInteger();
    Load.at(
        lab,
        100,
        26,
        n -> {
          Lab.Router router = lab.routers.get(n % 3);
          String id = lab.nextRequestId();
          routerOf.put(id, router.name);
          sent.incrementAndGet();
          Lab.Answer a = lab.send(router, id, "booking-lookup", "", 2_500, 3_000);
          served.addAndGet(a.isSuccess() ? 1 : 0);
          if (a.headers.containsKey("server-limit")) {
            passedOn.putIfAbsent(router.name, lab.seconds());
          }
          lab.log("request %s at %s: %s", id, router, a);
        });
    return judge(lab, arrivals, passedOn, firstNamed[0], sent.get(), served.get());
  }

  private static void configure(Lab lab, int version) {
    lab.configure(
        version,
        List.of(Lab.plainService(SERVICE)),
        List.of(Lab.route("booking-lookup", "unsafe", SERVICE, 1, 2_500, ",\"slo-ms\":900")));
  }

  private static int judge(
      Lab lab,
      List<Arrival> arrivals,
      Map<String, Double> passedOn,
      double firstNamed,
      int sent,
      int served) {
    List<Double> counted = new ArrayList<>();
    for (Arrival a : arrivals) {
      Double since = passedOn.get(a.router());
      if (a.at() >= firstNamed + CONTACT_SECONDS && since != null && a.at() >= since + 0.5) {
        counted.add(a.at());
      }
    }
    Collections.sort(counted);
    int most = 0;
    double mostAt = 0;
    for (int i = 0; i < counted.size(); i++) {
      int n = 0;
      for (int j = i; j < counted.size() && counted.get(j) < counted.get(i) + WINDOW_SECONDS; j++) {
        n++;
      }
      if (n > most) {
        most = n;
        mostAt = counted.get(i);
      }
    }
    double allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5;
    lab.say(
        "LIMIT: %d sent, %d served; at most %d requests in 4 s (from %.1f s), allowed %.0f",
        sent, served, most, mostAt, allowed);
    if (firstNamed < 0 || passedOn.size() < 3 || served < sent / 2) {
      return 2;
    }
    return most > allowed ? 1 : 0;
  }
}
