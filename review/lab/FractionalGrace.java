import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The settings change to a grace period with a fraction; then the routers are restarted in turn. */
final class FractionalGrace extends Case {
  public static void main(String[] args) throws Exception {
    new FractionalGrace().run(args[0]);
  }

  @Override
  int play() throws Exception {
    Backend.Work work =
        (b, m, out) -> {
          sleep(20);
          b.answer(out, 200, m, "lookup " + m.header("X-Wigeonwharf-Request-Id"));
        };
    backend("i-a", "bookings", "hobart-a", work);
    backend("i-b", "bookings", "launceston-a", work);
    store.put(
        "op/config",
        new Config()
            .service("bookings")
            .route("/lookup/", "safe", "bookings", ",\"timeout-ms\":2000,\"max-attempts\":2")
            .tenant("t1", "key-one")
            .json(7));
    if (!startRouters(
        "front-a-1", "hobart-a", "front-b-1", "launceston-a", "front-c-1", "burnie-a")) {
      return NOT_RUN;
    }
    List<Traffic> traffic = new ArrayList<>();
    for (Router r : routers) {
      traffic.add(
          new Traffic(
              record,
              r,
              "GET",
              "/lookup/2f",
              "X-Wigeonwharf-Request-Deadline: 4000\r\nAuthorization: Bearer key-one\r\n",
              100));
    }
    sleep(3_000);
    int failedStarts = 0;
    for (Router r : routers) {
      r.signal("TERM");
      int code = r.exitCode(10_000);
      record.add("router %s has ended after SIGTERM, exit code %d", r.name, code);
      // The platform starts it again with the settings in effect at that moment.
      Map<String, String> fields = r.fields(store.address(), routers);
      fields.put("bounds.grace-s", trouble ? "7.5" : "7");
      for (int attempt = 1; attempt <= 3; attempt++) {
        r.start(fields);
        if (r.awaitReady(4_000)) {
          record.add("router %s is ready again", r.name);
          break;
        }
        int exit = r.exitCode(100);
        record.add("router %s: start %d ended with exit code %d", r.name, attempt, exit);
        if (exit >= 0) {
          failedStarts++;
        }
      }
    }
    double restarted = record.now();
    sleep(4_000);
    int after = 0;
    int served = 0;
    for (Traffic t : traffic) {
      t.finish();
      for (Traffic.Sent s : t.sent) {
        if (s.at() > restarted) {
          after++;
          served += s.result().equals("200") ? 1 : 0;
        }
      }
    }
    record.say(
        "starts that ended by themselves: %d; requests after the restarts: %d, served: %d",
        failedStarts, after, served);
    return failedStarts > 0 ? BROKEN : HELD;
  }
}
