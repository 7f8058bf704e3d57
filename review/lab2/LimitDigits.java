import java.util.ArrayList;
import java.util.List;

/**
 * One of three servers needs relief and names a limit of ten thirds of a request a second, as a
 * double prints; with TROUBLE=0 it names the same limit with nine digits after the point.
 */
final class LimitDigits {
  public static void main(String[] args) {
    Lab.run(args[0], LimitDigits::body);
  }

  private static void body(Lab lab) throws Exception {
    String limit = Lab.trouble() ? Double.toString(10 / 3.0) : "3.333333333";
    RateLimit load = new RateLimit(lab, limit, 20);
    Lab.Store store = lab.store();
    List<String> zones = List.of("zone-a", "zone-b", "zone-c");
    lab.backend("i-need", "bookings", "zone-a", 6, 0, load::answerInNeed).publish(store, "ready");
    lab.backend("i-1", "bookings", "zone-b", 6, 0, load::answer).publish(store, "ready");
    lab.backend("i-2", "bookings", "zone-c", 6, 0, load::answer).publish(store, "ready");
    store.put(
        "op/config",
        Lab.config(
            7,
            List.of(Lab.route("book", "safe", 2_000, 250, "bookings", 2, false)),
            List.of(Lab.service("bookings"))));
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
    lab.log("60 requests a second begin; i-need names Server-Limit: " + limit);
    load.sendAll(routers, "/book/x", 60);
    for (int i = 0; i < 4; i++) {
      Lab.sleep(5_000);
      load.logCounts("after " + 5 * (i + 1) + " s");
    }
    load.stop();
    load.finish(4);
  }
}
