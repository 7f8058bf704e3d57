import java.util.ArrayList;
import java.util.List;

/**
 * A server in need names a limit; its route moves to another service for more than a minute and back.
 * The server names the same limit all the while.
 */
final class LimitIdle {
  private static final String LIMIT = "5";
  private static final double PER_SECOND = 60;

  /** Work of a server that has turned slow: eight times 43 ms. */
  private static final int WORK_MILLIS = 344;

  public static void main(String[] args) {
    Lab.run(args[0], LimitIdle::body);
  }

  private static void body(Lab lab) throws Exception {
    RateLimit load = new RateLimit(lab, LIMIT, WORK_MILLIS);
    Lab.Store store = lab.store();
    List<String> zones = List.of("zone-a", "zone-b", "zone-c");
    lab.backend("i-need", "bookings", "zone-a", 30, 0, load::answerInNeed).publish(store, "ready");
    for (int i = 0; i < 3; i++) {
      lab.backend("i-" + i, "archive", zones.get(i), 6, 0, load::answer).publish(store, "ready");
    }
    List<String> services = List.of(Lab.service("bookings"), Lab.service("archive"));
    String toBookings = Lab.route("book", "safe", 2_000, 250, "bookings", 2, false);
    String toArchive = Lab.route("book", "safe", 2_000, 250, "archive", 2, false);
    store.put("op/config", Lab.config(7, List.of(toBookings), services));
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
    lab.log(PER_SECOND + " requests a second begin; i-need names Server-Limit: " + LIMIT);
    load.sendAll(routers, "/book/x", PER_SECOND);
    Lab.sleep(10_000);
    load.logCounts("before the change");
    if (Lab.trouble()) {
      lab.log("configuration 10: the route moves to another service");
      store.put("op/config", Lab.config(10, List.of(toArchive), services));
    }
    Lab.sleep(64_000);
    load.logCounts("64 s later");
    if (Lab.trouble()) {
      lab.log("configuration 13: the route moves back");
      store.put("op/config", Lab.config(13, List.of(toBookings), services));
    }
    Lab.sleep(8_000);
    load.logCounts("8 s later");
    load.stop();
    load.finish(4);
  }
}
