import java.util.ArrayList;
import java.util.List;

/** A server leaves without a notice while the store cuts watches that wait. */
final class WatchCut extends Case {
  private static final double DRAIN_TIMEOUT_MILLIS = 2_500;
  private static final int SERVES_ON_MILLIS = 9_000;

  public static void main(String[] args) throws Exception {
    new WatchCut().run(args[0]);
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
    backend("i-c", "bookings", "burnie-a", work);
    Backend leaving = backend("i-leaving", "bookings", "hobart-a", work);
    store.put(
        "op/config",
        new Config()
            .service("bookings")
            .route("/lookup/", "safe", "bookings", ",\"timeout-ms\":2000,\"max-attempts\":2")
            .tenant("t1", "key-one")
            .json(7));
    if (!startRouters("front-a-1", "hobart-a", "front-b-1", "launceston-a", "front-c-1", "burnie-a")) {
      return NOT_RUN;
    }
    List<Traffic> traffic = new ArrayList<>();
    for (Router r : routers) {
      for (int i = 0; i < 3; i++) {
        traffic.add(
            new Traffic(
                record,
                r,
                "GET",
                "/lookup/2f",
                "X-Wigeonwharf-Request-Deadline: 4000\r\nAuthorization: Bearer key-one\r\n",
                50));
      }
    }
    sleep(6_000);
    if (trouble) {
      store.cutWatchAfterMillis = 1_000;
    }
    sleep(4_000);
    store.delete(leaving.key());
    double removedAt = record.now();
    sleep(SERVES_ON_MILLIS);
    for (Traffic t : traffic) {
      t.finish();
    }
    List<Backend.Run> runs = List.copyOf(leaving.runs);
    long late =
        runs.stream().filter(r -> r.at() > removedAt + DRAIN_TIMEOUT_MILLIS).count();
    long all = runs.size();
    double last = runs.stream().mapToDouble(Backend.Run::at).max().orElse(removedAt);
    record.say(
        "requests at the server: %d, of these later than %.0f ms after its removal: %d, the last"
            + " %.0f ms after it",
        all, DRAIN_TIMEOUT_MILLIS, late, last - removedAt);
    if (runs.stream().noneMatch(r -> r.at() < removedAt)) {
      return NOT_RUN;
    }
    return late > 0 ? BROKEN : HELD;
  }
}
