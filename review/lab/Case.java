import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Frame of a case: starts the processes, plays, ends them, and exits with the result. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final List<Router> routers = new ArrayList<>();
  final List<Backend> backends = new ArrayList<>();
  Record record;

  /** Maximum number of descriptors of each router; 0 if it isn't limited. */
  int maxFds;

  Store store;

  /** Plays the case and returns its exit code. */
  abstract int play() throws Exception;

  final void run(String folder) throws Exception {
    int code = NOT_RUN;
    record = new Record(Path.of(folder, "record.txt"));
    store = new Store(record);
    Thread hook = new Thread(this::endAll);
    Runtime.getRuntime().addShutdownHook(hook);
    record.say("trouble: %s", trouble ? "yes" : "no");
    try {
      code = play();
    } catch (Exception e) {
      record.say("the case could not run: %s", e);
      e.printStackTrace();
    } finally {
      endAll();
    }
    record.say(
        "result: %s", code == HELD ? "held" : code == BROKEN ? "broken" : "could not run");
    record.close();
    Runtime.getRuntime().halt(code);
  }

  private void endAll() {
    for (Router r : routers) {
      try {
        r.close();
      } catch (Exception e) {
        System.err.println("ending " + r.name + ": " + e);
      }
    }
  }

  Backend backend(String id, String service, String zone, Backend.Work work) throws Exception {
    Backend b = new Backend(record, id, service, zone, work);
    backends.add(b);
    store.put(b.key(), b.entry("ready"));
    return b;
  }

  /** Starts all routers; returns false if one isn't ready in time. */
  boolean startRouters(String... namesAndZones) throws Exception {
    for (int i = 0; i < namesAndZones.length; i += 2) {
      routers.add(new Router(namesAndZones[i], namesAndZones[i + 1]));
    }
    for (Router r : routers) {
      r.start(r.fields(store.address(), routers), maxFds);
    }
    for (Router r : routers) {
      if (!r.awaitReady(20_000)) {
        record.say("router %s isn't ready", r.name);
        return false;
      }
      record.add("router %s is ready, callers at %s", r.name, Router.text(r.front));
    }
    return true;
  }

  static void sleep(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }
}
