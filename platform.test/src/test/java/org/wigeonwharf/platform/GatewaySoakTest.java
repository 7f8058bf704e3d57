package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Soaks router processes from outside: callers keep their connections until a router closes them,
 * while series of signals, restarts, server crashes, evacuations, configuration changes and
 * restores of the store overlap. Servers that start are cold for a while, some answer with bytes
 * that are no answer, and two software versions serve side by side. Some callers break streams off
 * and resume them at any router.
 *
 * <p>{@code -Dsoak.seeds=N} plays N seeds, {@code -Dsoak.first=S} from seed S on.
 */
class GatewaySoakTest {
  private static final int ROUTERS = 3;
  private static final int CALLERS = 8;
  private static final int SERIES = 3;
  private static final long SOAK_MILLIS = 12_000;
  private static final long RECOVERY_MILLIS = 4_000;

  /** Time in ms after the store's answer by which an evacuation has to be followed. */
  private static final long EVACUATION_MILLIS = 2_000;

  @TempDir private Path folder;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final Queue<ResumedStream> resumedStreams = new ConcurrentLinkedQueue<>();
  private final List<RestartableRouter> routers = new ArrayList<>();
  private final AtomicInteger version = new AtomicInteger();
  private final Set<String> evacuated = new HashSet<>();
  private StoreStandIn store;
  private SoakBackends backends;
  private volatile boolean troubled;
  private volatile boolean running;

  /**
   * Holds how a request ended.
   *
   * @param id its id
   * @param path its path
   * @param response the whole response, or null if the connection ended before
   * @param recovered true if it was sent after the end of all troubles
   */
  private record Outcome(
      String id, String path, KeptConnection.Response response, boolean recovered) {}

  /**
   * Holds how a resumed stream ended.
   *
   * @param stream the id of the request that began it
   * @param data what its first event held
   * @param response the whole response to the request that resumed it
   */
  private record ResumedStream(String stream, String data, KeptConnection.Response response) {}

  private void publishConfiguration() {
    int v = version.incrementAndGet();
    store.put("op/config", ConfigurationText.ofAllKinds(v, 5_000 + v));
  }

  private void callRouters(long seed) {
    Random random = new Random(seed);
    int sent = 0;
    KeptConnection connection = null;
    while (running) {
      String id = "q" + Long.toHexString(seed) + "-" + ++sent;
      String path = List.of("/r/x", "/u/x", "/s/x").get(random.nextInt(3));
      if (path.startsWith("/s/") && random.nextInt(3) == 0) {
        breakOffAndResume(id, path, random);
        continue;
      }
      boolean recovered = !troubled;
      boolean crashing = !recovered && random.nextInt(40) == 0;
      KeptConnection.Response response = null;
      try {
        if (connection == null) {
          connection = new KeptConnection(routers.get(random.nextInt(ROUTERS)).callers());
        }
        connection.send(request(id, path, crashing, random));
        response = connection.read();
        if ("close".equalsIgnoreCase(response.headers().get("connection"))) {
          connection.close();
          connection = null;
        }
      } catch (IOException e) {
        connection = null;
        recovered = false;
      }
      if (!crashing) {
        outcomes.add(new Outcome(id, path, response, recovered));
      }
    }
  }

  /** Begins a stream, breaks it off after its first event and resumes it at any router. */
  private void breakOffAndResume(String id, String path, Random random) {
    InetSocketAddress first = routers.get(random.nextInt(ROUTERS)).callers();
    InetSocketAddress second = routers.get(random.nextInt(ROUTERS)).callers();
    try {
      String data;
      try (KeptConnection c = new KeptConnection(first)) {
        c.send(RequestText.of(path, id, 4_000));
        data = c.readUntil("data: ");
      }
      Thread.sleep(random.nextInt(100));
      try (KeptConnection c = new KeptConnection(second)) {
        c.send(
            RequestText.of(
                path,
                id + "-resumed",
                2_000,
                WireNames.LAST_EVENT_ID + ": 1",
                WireNames.RESUMED_REQUEST_ID + ": " + id));
        resumedStreams.add(new ResumedStream(id, data, c.read()));
      }
    } catch (IOException e) {
      // A router that ends, or one that refuses the first request, leaves nothing to resume.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String request(String id, String path, boolean crashing, Random random) {
    String parts = "common:10," + (crashing ? SoakBackends.CRASHING_PART + ":10," : "") + id + ":5";
    int timeoutMillis = 2_000 + random.nextInt(2_000);
    return path.startsWith("/s/")
        ? RequestText.of(
            path,
            id,
            timeoutMillis,
            WireNames.PROMPT_PARTS + ": " + parts,
            WireNames.TOKEN_COUNTS + ": 25,5")
        : RequestText.of(path, id, timeoutMillis);
  }

  /** Plays one series of troubles; several overlap. */
  private Void makeTrouble(long seed, long endAt) throws Exception {
    Random random = new Random(seed);
    while (System.nanoTime() < endAt) {
      RestartableRouter router = routers.get(random.nextInt(ROUTERS));
      switch (random.nextInt(12)) {
        case 0 -> router.terminate();
        case 1 -> router.kill();
        case 2 -> router.hangUp(0.1 + random.nextInt(5) / 10.0);
        case 3 -> publishConfiguration();
        case 4 -> backends.crashOne();
        case 5 -> backends.replaceOne();
        case 6 -> backends.replaceOneByAnswers();
        case 7 -> backends.pauseOne(300 + random.nextInt(2_000));
        case 8 -> backends.garble(random.nextLong(), 300 + random.nextInt(1_000));
        case 9 -> evacuate("z" + random.nextInt(2), 300 + random.nextInt(2_000));
        case 10 -> restoreStore(random);
        default -> {
          store.failWith(503);
          Thread.sleep(500 + random.nextInt(1_000));
          store.failWith(0);
        }
      }
      Thread.sleep(random.nextInt(600));
    }
    return null;
  }

  /** Evacuates one failure domain for a while; both may be at once. */
  private void evacuate(String failureDomain, int millis) throws InterruptedException {
    synchronized (evacuated) {
      evacuated.add(failureDomain);
      store.put("op/evacuate/" + failureDomain, "{}");
    }
    Thread.sleep(millis);
    synchronized (evacuated) {
      evacuated.remove(failureDomain);
      store.delete("op/evacuate/" + failureDomain);
    }
  }

  /** Restores the store from an earlier copy, once or twice; all is written again after that. */
  private void restoreStore(Random random) throws InterruptedException {
    StoreStandIn.Copy copy = store.copy();
    Thread.sleep(500 + random.nextInt(2_500));
    for (int i = random.nextInt(2); i < 2; i++) {
      store.failWith(503);
      Thread.sleep(200 + random.nextInt(500));
      store.restore(copy);
      store.failWith(0);
      Thread.sleep(random.nextInt(500));
    }
    int v = version.get();
    store.put("op/config", ConfigurationText.ofAllKinds(v, 5_000 + v));
    backends.publishAll();
    synchronized (evacuated) {
      for (String domain : List.of("z0", "z1")) {
        if (evacuated.contains(domain)) {
          store.put("op/evacuate/" + domain, "{}");
        } else {
          store.delete("op/evacuate/" + domain);
        }
      }
    }
  }

  static LongStream seeds() {
    long first = Long.getLong("soak.first", 1);
    return LongStream.range(first, first + Integer.getInteger("soak.seeds", 2));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void promisesHoldWhileTroublesOverlap(long seed) throws Exception {
    store = new StoreStandIn();
    backends = new SoakBackends(store, 4);
    publishConfiguration();
    try {
      for (int i = 0; i < ROUTERS; i++) {
        InetSocketAddress first = routers.isEmpty() ? null : routers.get(0).peers();
        RestartableRouter r =
            new RestartableRouter(folder, i, "z" + i % 2, first, store.address(), 0.4);
        routers.add(r);
        r.start();
      }
      soak(seed);
    } finally {
      running = false;
      routers.forEach(RestartableRouter::close);
      threads.shutdownNow();
      backends.close();
      store.close();
    }
    check();
  }

  private void soak(long seed) throws Exception {
    running = true;
    troubled = true;
    List<Future<?>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      long callerSeed = seed * 1_000 + i;
      callers.add(threads.submit(() -> callRouters(callerSeed)));
    }
    long endAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SOAK_MILLIS);
    List<Future<Void>> series = new ArrayList<>();
    for (int i = 0; i < SERIES; i++) {
      long seriesSeed = seed * 100 + i;
      series.add(threads.submit(() -> makeTrouble(seriesSeed, endAt)));
    }
    for (Future<Void> s : series) {
      s.get(SOAK_MILLIS + 60_000, TimeUnit.MILLISECONDS);
    }
    store.failWith(0);
    Thread.sleep(RECOVERY_MILLIS);
    troubled = false;
    Thread.sleep(RECOVERY_MILLIS);
    store.put("op/evacuate/z0", "{}");
    Thread.sleep(EVACUATION_MILLIS);
    backends.watchEvacuated("z0");
    Thread.sleep(RECOVERY_MILLIS / 2);
    running = false;
    for (Future<?> c : callers) {
      c.get(30, TimeUnit.SECONDS);
    }
  }

  private void check() {
    int recovered = 0;
    int served = 0;
    for (Outcome o : outcomes) {
      int runs = backends.runsOf(o.id);
      KeptConnection.Response r = o.response;
      if (o.path.startsWith("/u/")) {
        assertTrue(runs <= 1, o + " ran " + runs + " times");
      }
      if (r != null && List.of(408, 421, 429, 503).contains(r.status())) {
        assertEquals(0, runs, o + " was refused and ran");
      }
      if (r != null && r.status() == 200) {
        if (o.path.startsWith("/s/")) {
          assertTrue(isOfOneVersion(o.id, r.body()), o.id + ": " + r.body());
        } else {
          assertEquals(SoakBackends.plainAnswer(o.id, "body"), r.body(), o.id);
        }
        assertEquals("signed", r.headers().get("x-wigeonwharf-server-seal"), o.id);
      }
      if (o.recovered) {
        recovered++;
        served += r != null && r.status() == 200 ? 1 : 0;
      }
    }
    checkResumedStreams();
    assertEquals(0, backends.evacuatedRuns(), "requests ran in an evacuated failure domain");
    assertTrue(backends.crashes() > 0, "no server crashed");
    assertTrue(outcomes.size() > 500, outcomes.size() + " requests");
    assertTrue(recovered > 100, recovered + " requests after the troubles");
    assertTrue(served >= 0.95 * recovered, served + " of " + recovered + " served at the end");
  }

  private static boolean isOfOneVersion(String stream, String events) {
    return SoakBackends.SOFTWARE_VERSIONS.stream()
        .anyMatch(v -> events.equals(SoakBackends.streamAnswer(stream, 1, v)));
  }

  private void checkResumedStreams() {
    int whole = 0;
    for (ResumedStream s : resumedStreams) {
      if (s.response.status() == 200) {
        whole++;
        String version = s.data.substring(s.data.indexOf(' ') + 1);
        assertEquals(SoakBackends.streamAnswer(s.stream, 2, version), s.response.body(), s.stream);
      }
    }
    assertTrue(whole > 50, whole + " of " + resumedStreams.size() + " resumed streams went on");
  }
}
