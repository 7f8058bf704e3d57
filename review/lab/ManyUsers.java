import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Many users come at once, for some seconds; afterwards the configuration changes. */
final class ManyUsers extends Case {
  private static final double CONFIG_APPLY_MILLIS = 2_500;
  private static final int MAX_FDS = 4_100;
  private static final int USERS = 2_000;
  private static final double BURST = 2.4;
  private static final int BURST_MILLIS = 9_000;
  private static final String MORE = ",\"timeout-ms\":2000,\"max-attempts\":2";

  private final List<Process> processes = new ArrayList<>();
  private final List<PrintStream> inputs = new ArrayList<>();

  public static void main(String[] args) throws Exception {
    new ManyUsers().run(args[0]);
  }

  private static Config config() {
    return new Config()
        .service("old-bookings")
        .service("new-bookings")
        .tenant("t1", "key-one");
  }

  private void startUsers(Router r) throws Exception {
    Process p =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                "-Xmx160m",
                "-cp",
                System.getProperty("java.class.path"),
                "Users",
                r.ip,
                "" + r.front.getPort(),
                "key-one")
            .redirectErrorStream(true)
            .start();
    processes.add(p);
    inputs.add(new PrintStream(p.getOutputStream(), true));
    Thread t =
        new Thread(
            () -> {
              try (BufferedReader in =
                  new BufferedReader(new InputStreamReader(p.getInputStream()))) {
                for (String l = in.readLine(); l != null; l = in.readLine()) {
                  record.add("users of %s: %s", r.name, l);
                }
              } catch (java.io.IOException e) {
                // The process has ended.
              }
            });
    t.setDaemon(true);
    t.start();
  }

  private void setUsers(int count) {
    record.add("users of each router: %d", count);
    inputs.forEach(i -> i.println(count));
  }

  @Override
  int play() throws Exception {
    try {
      return playWithUsers();
    } finally {
      inputs.forEach(PrintStream::close);
      for (Process p : processes) {
        p.destroyForcibly().waitFor();
      }
    }
  }

  private int playWithUsers() throws Exception {
    Backend.Work work =
        (b, m, out) -> {
          sleep(10);
          b.answer(out, 200, m, "lookup " + m.header("X-Wigeonwharf-Request-Id"));
        };
    String[] zones = {"hobart-a", "launceston-a", "burnie-a"};
    for (String z : zones) {
      for (String service : new String[] {"old-bookings", "new-bookings"}) {
        Backend b = backend("i-" + service + "-" + z, service, z, work);
        b.slots = 64;
        store.put(b.key(), b.entry("ready"));
      }
    }
    store.put("op/config", config().route("/lookup/", "safe", "old-bookings", MORE).json(7));
    maxFds = MAX_FDS;
    if (!startRouters(
        "front-a-1", "hobart-a", "front-b-1", "launceston-a", "front-c-1", "burnie-a")) {
      return NOT_RUN;
    }
    List<Traffic> traffic = new ArrayList<>();
    for (Router r : routers) {
      startUsers(r);
      traffic.add(
          new Traffic(
              record,
              r,
              "GET",
              "/lookup/2f",
              "X-Wigeonwharf-Request-Deadline: 4000\r\nAuthorization: Bearer key-one\r\n",
              100));
    }
    setUsers(USERS);
    sleep(12_000);
    if (trouble) {
      setUsers((int) (USERS * BURST));
    }
    sleep(BURST_MILLIS);
    setUsers(USERS);
    sleep(10_000);
    store.put("op/config", config().route("/lookup/", "safe", "new-bookings", MORE).json(9));
    double ackAt = record.now();
    sleep(15_000);
    for (Traffic t : traffic) {
      t.finish();
    }
    Set<String> old = new HashSet<>();
    for (Backend b : backends) {
      if (b.service.equals("old-bookings")) {
        old.addAll(b.ids());
      }
    }
    int counted = 0;
    int late = 0;
    for (Traffic t : traffic) {
      for (Traffic.Sent s : t.sent) {
        if (s.at() <= ackAt + CONFIG_APPLY_MILLIS) {
          continue;
        }
        counted++;
        if (old.contains(s.id())) {
          late++;
          record.add(
              "late: %s, sent to %s %.0f ms after the ack, ran at the old service",
              s.id(), s.router(), s.at() - ackAt);
        }
      }
    }
    record.say(
        "requests sent later than %.0f ms after the ack: %d, of these run by the old service: %d",
        CONFIG_APPLY_MILLIS, counted, late);
    if (counted == 0) {
      return NOT_RUN;
    }
    return late > 0 ? BROKEN : HELD;
  }
}
