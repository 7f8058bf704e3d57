package org.wigeonwharf.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.relay.EngineHeaders;

/**
 * An EngineStandIn is a model engine with a continuous batch of some slots and a fixed token time.
 *
 * <p>{@code POST /v1/chat/completions} takes {@code max_tokens} and {@code stream}; token number
 * <i>i</i> of every answer is {@code t}<i>i</i>. Streams can be continued and given up as {@link
 * EngineHeaders} says; {@code POST /v1/streams/ID/export} hands one over to another engine. Work
 * that waits starts by its {@code Priority: u=N}, 0 first. {@code GET /v1/load} reports load, as
 * late as {@code POST /control/lag?ms=N} says. {@code POST /control/slow?factor=F}, {@code
 * /control/crash}, {@code /control/cut} and {@code /control/refuse?on=B} bring faults.
 */
public final class EngineStandIn extends StandInServer {
  private static final long TICK_MILLIS = 2;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final int DEFAULT_TOKENS = 20;
  private static final String PRIORITY = "Priority";
  private static final Pattern URGENCY = Pattern.compile("\\bu=([0-7])\\b");
  private static final int DEFAULT_URGENCY = 3;

  private final int slots;
  private final long tokenMillis;
  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient http = HttpClient.newHttpClient();
  private final Deque<EngineJob> waiting = new ArrayDeque<>();
  private final List<EngineJob> running = new ArrayList<>();
  private final Map<String, EngineJob> kept = new LinkedHashMap<>();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicLong started = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final ScheduledExecutorService ticker =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "engine");
            t.setDaemon(true);
            return t;
          });
  private final LoadHistory history = new LoadHistory();
  private volatile long reportLagMillis;
  private volatile int slowFactor = 1;
  private volatile boolean refusing;

  /**
   * Creates an engine.
   *
   * @param bindAddress where to listen; port 0 lets the system choose
   * @param slots size of the batch
   * @param tokenMillis time between tokens
   */
  public EngineStandIn(InetSocketAddress bindAddress, int slots, long tokenMillis) {
    super(bindAddress);
    this.slots = slots;
    this.tokenMillis = tokenMillis;
  }

  @Override
  public void start() throws Exception {
    super.start();
    ticker.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    ticker.shutdownNow();
    super.stop();
  }

  /**
   * Returns how many answers were begun; continued streams are not counted again.
   *
   * @return a count since the start
   */
  public long started() {
    return started.get();
  }

  /**
   * Returns how many answers lost the side that read them.
   *
   * @return a count since the start
   */
  public long cancelled() {
    return cancelled.get();
  }

  /**
   * Tells whether the engine has neither work nor streams to continue.
   *
   * @return true if all batch slots, the queue and the kept streams are empty
   */
  public synchronized boolean isIdle() {
    return running.isEmpty() && waiting.isEmpty() && kept.isEmpty();
  }

  /**
   * Makes every token take longer.
   *
   * @param factor 1 for the normal time
   */
  public void setSlowFactor(int factor) {
    slowFactor = factor;
  }

  /**
   * Makes the engine refuse new work without starting it.
   *
   * @param refusing true to answer 503 to all new work
   */
  public void setRefusing(boolean refusing) {
    this.refusing = refusing;
  }

  /**
   * Makes the load report show what was true some time ago.
   *
   * @param millis how late the report is
   */
  public void setReportLagMillis(long millis) {
    reportLagMillis = millis;
  }

  /** Breaks off every answer and forgets all streams, as a crash of the engine process does. */
  public synchronized void crash() {
    List<EngineJob> all = new ArrayList<>(running);
    all.addAll(waiting);
    running.clear();
    waiting.clear();
    kept.clear();
    all.forEach(EngineJob::detach);
  }

  /** Drops the connections of all running answers, as a broken network does. */
  public synchronized void cut() {
    for (EngineJob j : List.copyOf(running)) {
      j.detach();
      running.remove(j);
      keep(j);
    }
  }

  @Override
  void answer(Request request, Response response, Callback callback) throws Exception {
    String path = path(request);
    if (path.startsWith(EngineHeaders.STREAMS_PREFIX)) {
      stream(path.substring(EngineHeaders.STREAMS_PREFIX.length()), request, response, callback);
      return;
    }
    switch (path) {
      case "/v1/chat/completions" -> complete(request, response, callback);
      case "/v1/load" -> json(response, callback, 200, load());
      default -> control(path, request, response, callback);
    }
  }

  private void control(String path, Request request, Response response, Callback callback) {
    switch (path) {
      case "/control/slow" -> setSlowFactor((int) number(request, "factor", 1));
      case "/control/lag" -> setReportLagMillis(number(request, "ms", 0));
      case "/control/crash" -> crash();
      case "/control/cut" -> cut();
      case "/control/refuse" -> setRefusing(Boolean.parseBoolean(text(request, "on", "true")));
      default -> {
        json(response, callback, 404, "{}");
        return;
      }
    }
    json(response, callback, 200, "{}");
  }

  private synchronized String load() {
    if (reportLagMillis == 0) {
      return currentLoad();
    }
    return history.at(System.nanoTime() - reportLagMillis * NANOS_PER_MILLI);
  }

  private String currentLoad() {
    return "{\"running\":%d,\"waiting\":%d,\"slots\":%d,\"started\":%d,\"cancelled\":%d}"
        .formatted(running.size(), waiting.size(), slots, started.get(), cancelled.get());
  }

  private void complete(Request request, Response response, Callback callback) throws Exception {
    JsonNode body = json.readTree(body(request));
    if (refusing) {
      json(response, callback, 503, "{\"error\":\"not started\"}");
      return;
    }
    boolean stream = body.path("stream").asBoolean(false);
    String id = address().getPort() + "-" + sequence.incrementAndGet();
    EngineJob job = new EngineJob(id, body.path("max_tokens").asInt(DEFAULT_TOKENS), stream);
    enqueue(job, request, response, callback, 0);
  }

  private synchronized void enqueue(
      EngineJob job, Request request, Response response, Callback callback, int fromByte) {
    response.setStatus(200);
    String type = job.isStream() ? "text/event-stream" : "application/json";
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    if (job.isStream()) {
      response.getHeaders().put(EngineHeaders.STREAM_ID, job.id());
      response.getHeaders().put(EngineHeaders.STREAM_OFFSET, Integer.toString(fromByte));
    }
    job.carry(request, response, callback, fromByte);
    job.urgency = urgency(request);
    waiting.add(job);
  }

  private static int urgency(Request request) {
    String field = request.getHeaders().get(PRIORITY);
    Matcher m = URGENCY.matcher(field == null ? "" : field);
    return m.find() ? Integer.parseInt(m.group(1)) : DEFAULT_URGENCY;
  }

  private void stream(String rest, Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    String[] parts = rest.split("/");
    if (request.getMethod().equals("DELETE")) {
      take(parts[0]);
      json(response, callback, 200, "{}");
    } else if (parts.length == 2 && parts[1].equals("export")) {
      EngineJob job = take(parts[0]);
      json(response, callback, job == null ? 410 : 200, job == null ? "{}" : exported(job));
    } else if (parts.length == 2 && parts[1].equals("resume")) {
      resume(parts[0], request, response, callback);
    } else {
      json(response, callback, 404, "{}");
    }
  }

  private String exported(EngineJob job) throws IOException {
    return json.writeValueAsString(job.state());
  }

  private void resume(String id, Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    if (refusing) {
      json(response, callback, 503, "{\"error\":\"not started\"}");
      return;
    }
    String source = request.getHeaders().get(EngineHeaders.STREAM_SOURCE);
    boolean own = source == null || source.equals(Addresses.format(address()));
    EngineJob job = own ? take(id) : fetch(source, id);
    long offset = request.getHeaders().getLongField(EngineHeaders.STREAM_OFFSET);
    if (job == null || offset < 0 || offset > job.bytes()) {
      json(response, callback, 410, "{\"error\":\"no such stream\"}");
      return;
    }
    enqueue(job, request, response, callback, (int) offset);
  }

  /** Takes a stream out of this engine, wherever it stands; its connection is dropped. */
  private synchronized @Nullable EngineJob take(String id) {
    EngineJob job = kept.remove(id);
    for (EngineJob j : List.copyOf(running)) {
      if (j.id().equals(id) && running.remove(j)) {
        job = j;
      }
    }
    for (EngineJob j : List.copyOf(waiting)) {
      if (j.id().equals(id) && waiting.remove(j)) {
        job = j;
      }
    }
    if (job != null) {
      job.detach();
    }
    return job;
  }

  private @Nullable EngineJob fetch(String source, String id) throws InterruptedException {
    URI uri = URI.create("http://" + source + EngineHeaders.STREAMS_PREFIX + id + "/export");
    HttpRequest post =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.noBody()).build();
    try {
      HttpResponse<String> r = http.send(post, HttpResponse.BodyHandlers.ofString());
      return r.statusCode() == 200
          ? new EngineJob(json.readValue(r.body(), EngineJob.State.class))
          : null;
    } catch (IOException e) {
      return null;
    }
  }

  private synchronized void tick() {
    long now = System.nanoTime();
    kept.values().removeIf(j -> now - j.expiryNanos >= 0);
    history.note(now, currentLoad());
    while (running.size() < slots && !waiting.isEmpty()) {
      EngineJob j = Collections.min(waiting, Comparator.comparingInt(w -> w.urgency));
      waiting.remove(j);
      j.nextNanos = now + tokenNanos();
      if (j.begin()) {
        started.incrementAndGet();
      }
      running.add(j);
    }
    running.removeIf(j -> step(j, now));
  }

  private long tokenNanos() {
    return tokenMillis * slowFactor * NANOS_PER_MILLI;
  }

  private boolean step(EngineJob j, long now) {
    if (j.isGone()) {
      cancelled.incrementAndGet();
      j.leave();
      keep(j);
      return true;
    }
    if (now - j.nextNanos >= 0 && !j.isHeldBack()) {
      j.generate();
      j.nextNanos += tokenNanos();
    }
    return j.write();
  }

  private void keep(EngineJob j) {
    if (j.isStream()) {
      j.expiryNanos = System.nanoTime() + KEPT_NANOS;
      kept.put(j.id(), j);
    }
  }
}
