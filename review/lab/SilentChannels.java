import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The open channels to the store go silent between two changes of the configuration. */
final class SilentChannels extends Case {
  private static final double CONTACT_MILLIS = 4_000;
  private static final double CONFIG_APPLY_MILLIS = 2_500;

  /** Allowance for the time between a client's send and the measured moments. */
  private static final double MARGIN_MILLIS = 100;

  public static void main(String[] args) throws Exception {
    new SilentChannels().run(args[0]);
  }

  private Config config() {
    return new Config()
        .service("old-bookings")
        .service("new-bookings")
        .tenant("t1", "key-one");
  }

  private static final String MORE = ",\"timeout-ms\":2000,\"max-attempts\":2";

  @Override
  int play() throws Exception {
    Backend.Work work =
        (b, m, out) -> {
          sleep(10);
          b.answer(out, 200, m, "lookup " + m.header("X-Wigeonwharf-Request-Id"));
        };
    Backend before = backend("i-old", "old-bookings", "hobart-a", work);
    Backend after = backend("i-new", "new-bookings", "hobart-a", work);
    store.put("op/config", config().route("/lookup/", "safe", "old-bookings", MORE).json(7));
    if (!startRouters(
        "front-a-1", "hobart-a", "front-a-2", "hobart-a", "front-a-3", "hobart-a")) {
      return NOT_RUN;
    }
    List<Traffic> traffic = new ArrayList<>();
    for (Router r : routers) {
      for (int i = 0; i < 2; i++) {
        traffic.add(
            new Traffic(
                record,
                r,
                "GET",
                "/lookup/2f",
                "X-Wigeonwharf-Request-Deadline: 4000\r\nAuthorization: Bearer key-one\r\n",
                40));
      }
    }
    sleep(8_000);
    // A first change, which adds a route.
    store.put(
        "op/config",
        config()
            .route("/lookup/", "safe", "old-bookings", MORE)
            .route("/added/", "safe", "new-bookings", MORE)
            .json(9));
    sleep(400);
    double silentAt = record.now();
    if (trouble) {
      store.silenceOpenChannels();
    }
    sleep(500);
    // The second change moves the route to the other service.
    store.put(
        "op/config",
        config()
            .route("/lookup/", "safe", "new-bookings", MORE)
            .route("/added/", "safe", "new-bookings", MORE)
            .json(12));
    double ackAt = record.now();
    sleep(9_000);
    for (Traffic t : traffic) {
      t.finish();
    }
    double inTouchAgain = silentAt + CONTACT_MILLIS;
    double from = Math.max(inTouchAgain, ackAt + CONFIG_APPLY_MILLIS) + MARGIN_MILLIS;
    record.say(
        "silent at %.1f, ack of the change at %.1f; requests count from %.1f",
        silentAt, ackAt, from);
    Set<String> old = before.ids();
    int late = 0;
    int counted = 0;
    for (Traffic t : traffic) {
      for (Traffic.Sent s : t.sent) {
        if (s.at() <= from) {
          continue;
        }
        counted++;
        if (old.contains(s.id())) {
          late++;
          record.add("late: %s, sent to %s at %.1f, ran at the old service", s.id(), s.router(), s.at());
        }
      }
    }
    double last = List.copyOf(before.runs).stream().mapToDouble(Backend.Run::at).max().orElse(0);
    record.say(
        "requests that count: %d, run by the old service: %d; its last run came %.0f ms after the"
            + " ack",
        counted, late, last - ackAt);
    if (counted == 0 || after.runs.isEmpty()) {
      return NOT_RUN;
    }
    return late > 0 ? BROKEN : HELD;
  }
}
