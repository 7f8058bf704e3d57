package org.wigeonwharf.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** Backend servers of a soak, which count the runs of each request and can be replaced. */
final class SoakBackends implements AutoCloseable {
  /** Time in ms for which a server that starts stays cold. */
  private static final int COLD_MILLIS = 800;

  static final int EVENTS = 5;
  private static final long EVENT_INTERVAL_MILLIS = 15;
  private static final String SERVICE = "s1";
  private static final String GARBLED_VERSION = "v1";

  /** The software versions that serve side by side. */
  static final List<String> SOFTWARE_VERSIONS = List.of("v0", "v1");

  /** A prompt part with which a server ends as soon as it begins to answer. */
  static final String CRASHING_PART = "bad";

  private final StoreStandIn store;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final List<Backend> live = new ArrayList<>();
  private final List<String> ended = new ArrayList<>();
  private int lastId;
  private final AtomicInteger evacuatedRuns = new AtomicInteger();
  private volatile @Nullable String evacuated;
  private int crashes;

  /** One running server. */
  private final class Backend {
    private final String id = "i-" + ++lastId;
    private final String failureDomain = "z" + lastId % 2;
    private final String softwareVersion = "v" + lastId / 2 % 2;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer server;
    private volatile boolean leaving;
    private volatile long pausedUntil = System.nanoTime();

    Backend() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
      server.setExecutor(executor);
      server.createContext("/", this::answer);
      server.start();
    }

    private void answer(HttpExchange x) throws IOException {
      try (x) {
        final String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (!id.equals(x.getRequestHeaders().getFirst(WireNames.EXPECTED_SERVER))) {
          x.sendResponseHeaders(421, -1);
          return;
        }
        String requestId = x.getRequestHeaders().getFirst(WireNames.REQUEST_ID);
        if (leaving) {
          x.getResponseHeaders().set(WireNames.LEAVING, "1");
        }
        long pauseMillis = (pausedUntil - System.nanoTime()) / 1_000_000;
        if (pauseMillis > 0) {
          turnAway(x, requestId, pauseMillis);
          return;
        }
        runs.merge(requestId, 1, Integer::sum);
        if (failureDomain.equals(evacuated)) {
          evacuatedRuns.incrementAndGet();
        }
        x.getResponseHeaders().set(WireNames.REQUEST_ID, requestId);
        x.getResponseHeaders().set(WireNames.SIGNATURE, "signed");
        x.getResponseHeaders().set(WireNames.LOAD, "1,0,6,100");
        if (x.getRequestURI().getPath().startsWith("/s/")) {
          stream(x, requestId);
        } else {
          byte[] bytes = plainAnswer(requestId, body).getBytes(StandardCharsets.UTF_8);
          x.sendResponseHeaders(200, bytes.length);
          x.getResponseBody().write(bytes);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void turnAway(HttpExchange x, String requestId, long pauseMillis) throws IOException {
      x.getResponseHeaders().set(WireNames.REQUEST_ID, requestId);
      x.getResponseHeaders().set(WireNames.NOT_RUN, "1");
      x.getResponseHeaders().set("Retry-After", String.valueOf(pauseMillis / 1e3));
      x.sendResponseHeaders(503, -1);
    }

    private void stream(HttpExchange x, String requestId) throws IOException, InterruptedException {
      final String parts = x.getRequestHeaders().getFirst(WireNames.PROMPT_PARTS);
      final String resumed = x.getRequestHeaders().getFirst(WireNames.LAST_EVENT_ID);
      x.getResponseHeaders().set("Content-Type", "text/event-stream");
      x.sendResponseHeaders(200, 0);
      OutputStream out = x.getResponseBody();
      out.flush();
      if (parts != null && parts.contains(CRASHING_PART + ":")) {
        crash(this);
        return;
      }
      String begun = x.getRequestHeaders().getFirst(WireNames.RESUMED_REQUEST_ID);
      String stream = begun == null ? requestId : begun;
      for (int i = resumed == null ? 1 : Integer.parseInt(resumed) + 1; i <= EVENTS; i++) {
        Thread.sleep(EVENT_INTERVAL_MILLIS);
        out.write(event(stream, i, softwareVersion).getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    }

    private void end() {
      server.stop(0);
      executor.shutdownNow();
    }
  }

  SoakBackends(StoreStandIn store, int count) throws IOException {
    this.store = store;
    for (int i = 0; i < count; i++) {
      add();
    }
  }

  static String plainAnswer(String requestId, String body) {
    return "done " + requestId + " with " + body;
  }

  private static String event(String stream, int number, String softwareVersion) {
    return "id: " + number + "\ndata: " + eventData(stream, softwareVersion) + "\n\n";
  }

  /** Returns what servers of a software version write in each event of a stream. */
  static String eventData(String stream, String softwareVersion) {
    return stream + " " + softwareVersion;
  }

  /**
   * Returns the events that servers of one software version write.
   *
   * @param stream the id of the request that began the stream
   * @param first the number of the first event
   * @param softwareVersion the software version
   */
  static String streamAnswer(String stream, int first, String softwareVersion) {
    StringBuilder text = new StringBuilder();
    for (int i = first; i <= EVENTS; i++) {
      text.append(event(stream, i, softwareVersion));
    }
    return text.toString();
  }

  private synchronized void add() throws IOException {
    Backend b = new Backend();
    live.add(b);
    publish(b, "ready", COLD_MILLIS);
  }

  private void publish(Backend b, String state, int coldMillis) {
    store.putServer(
        b.id,
        SERVICE,
        b.server.getAddress(),
        state,
        b.failureDomain,
        coldMillis,
        b.softwareVersion);
  }

  private synchronized void withdraw(String id) {
    ended.add(id);
    store.delete("servers/" + id);
  }

  /** Writes all entries again, as servers do after the store was restored from a copy. */
  synchronized void publishAll() {
    live.forEach(b -> publish(b, "ready", 0));
    ended.forEach(id -> store.delete("servers/" + id));
  }

  /** Ends a server without notice; its entry expires and another one starts. */
  private void crash(Backend b) throws IOException {
    synchronized (this) {
      if (!live.remove(b)) {
        return;
      }
      crashes++;
    }
    b.end();
    add();
    withdraw(b.id);
  }

  /** Ends one server without notice. */
  void crashOne() throws IOException {
    Backend b;
    synchronized (this) {
      b = live.get(0);
    }
    crash(b);
  }

  /** Replaces one server as in a planned release: the new one starts, the old one drains. */
  void replaceOne() throws IOException, InterruptedException {
    add();
    Backend old;
    synchronized (this) {
      old = live.remove(0);
    }
    publish(old, "draining", 0);
    Thread.sleep(1_500);
    withdraw(old.id);
    old.end();
  }

  /** Replaces one server that states its leaving in its answers only, never in the store. */
  void replaceOneByAnswers() throws IOException, InterruptedException {
    add();
    Backend old;
    synchronized (this) {
      old = live.remove(0);
    }
    old.leaving = true;
    Thread.sleep(1_500);
    withdraw(old.id);
    Thread.sleep(1_500);
    old.end();
  }

  /** Runs one more server for a while, whose answers are none. */
  void garble(long seed, long millis) throws IOException, InterruptedException {
    String id;
    synchronized (this) {
      id = "i-" + ++lastId;
    }
    try (GarblingServer server =
        new GarblingServer(
            new Random(seed), GARBLED_VERSION, request -> runs.merge(request, 1, Integer::sum))) {
      store.putServer(id, SERVICE, server.address(), "ready", "z0", 0, GARBLED_VERSION);
      Thread.sleep(millis);
      store.putServer(id, SERVICE, server.address(), "draining", "z0", 0, GARBLED_VERSION);
      Thread.sleep(millis);
      withdraw(id);
    }
  }

  /** Lets one server turn requests away for a time that it names. */
  synchronized void pauseOne(long millis) {
    live.get(0).pausedUntil = System.nanoTime() + millis * 1_000_000;
  }

  /** Counts from now on the requests that run on servers of a failure domain. */
  void watchEvacuated(String failureDomain) {
    evacuated = failureDomain;
  }

  /** Returns the number of requests that ran on servers of the watched failure domain. */
  int evacuatedRuns() {
    return evacuatedRuns.get();
  }

  int runsOf(String requestId) {
    return runs.getOrDefault(requestId, 0);
  }

  synchronized int crashes() {
    return crashes;
  }

  @Override
  public synchronized void close() {
    live.forEach(Backend::end);
  }
}
