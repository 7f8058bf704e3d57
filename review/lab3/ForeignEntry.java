import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer replaces the entry of a live model server by one with missing fields that names
 * the booking service. Checks ROUTE: no booking is run by a model server.
 */
final class ForeignEntry {
  private static final String MODELS = "drapery-assistant";
  private static final String BOOKINGS = "venue-bookings";

  /** Times in seconds at which the other writer writes. */
  private static final double[] WRITES = {8, 12, 16};

  private ForeignEntry() {}

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
    AtomicInteger foreign = new AtomicInteger();
    AtomicInteger bookings = new AtomicInteger();
    Lab.Handler handler =
        (server, r, e) -> {
          boolean booking = r.target().startsWith("/slot-booking/");
          if (booking && server.service.equals(MODELS)) {
            foreign.incrementAndGet();
            lab.log("BROKEN booking %s is run by model server %s", r.id(), server.id);
          } else {
            lab.log("run %s %s at %s (%s)", r.id(), r.target(), server.id, server.service);
          }
          Lab.sleep(booking ? 40 : 100);
          e.answer(200, "", "done by " + server.service, true);
        };
    for (int i = 0; i < 3; i++) {
      lab.new Backend("i-model" + i, MODELS, zones.get(i), 64, 10 + i, handler).start();
      lab.new Backend("i-booking" + i, BOOKINGS, zones.get(i), 6, 20 + i, handler).start();
    }
    lab.configure(
        1,
        List.of(Lab.modelService(MODELS, 64), Lab.plainService(BOOKINGS)),
        List.of(
            Lab.route("slot-booking", "unsafe", BOOKINGS, 1, 1_200, ",\"slo-ms\":250"),
            Lab.route("swatch-label", "unsafe", MODELS, 1, 3_000, ",\"slo-ms\":600")));
    lab.startRouters(zones);
    double begin = lab.seconds();
    Lab.Backend replaced = lab.backends.get(0);
    if (Lab.troubled()) {
      lab.threads.execute(() -> writeForeignEntries(lab, replaced, begin));
    }
    AtomicInteger served = new AtomicInteger();
    Load.at(
        lab,
        20,
        20,
        n -> {
          Lab.Router router = lab.routers.get(n % 3);
          String id = lab.nextRequestId();
          bookings.incrementAndGet();
          Lab.Answer a = lab.send(router, id, "slot-booking", "", 2_500, 3_000);
          served.addAndGet(a.isSuccess() ? 1 : 0);
          lab.log("booking %s at %s: %s %s", id, router, a, a.body);
        });
    lab.say(
        "ROUTE: %d bookings, %d served, %d run by a model server",
        bookings.get(), served.get(), foreign.get());
    if (served.get() < bookings.get() / 2) {
      return 2;
    }
    return foreign.get() > 0 ? 1 : 0;
  }

  private static void writeForeignEntries(Lab lab, Lab.Backend server, double begin) {
    for (double at : WRITES) {
      Lab.sleep((long) Math.max(0, (begin + at - lab.seconds()) * 1_000));
      String entry =
          "{\"service\":\""
              + BOOKINGS
              + "\",\"address\":\""
              + Lab.text(server.address)
              + "\",\"zone\":\""
              + server.zone
              + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}";
      lab.log("another writer writes servers/%s: %s", server.id, entry);
      lab.store.put("servers/" + server.id, entry);
      server.forgetPublished();
    }
  }
}
