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
 * Simulates a model engine that batches continuously in a fixed number of slots and generates
 * tokens at a constant interval.
 *
 * <p>{@code POST /v1/chat/completions} accepts {@code max_tokens} and {@code stream}; token
 * <i>i</i> of every answer is {@code t}<i>i</i>. Streams can be resumed and cancelled as described
 * in {@link EngineHeaders}; {@code POST /v1/streams/ID/export} transfers a stream to another
 * engine. Waiting requests start in order of their urgency ({@code Priority: u=N}, 0 first). {@code
 * GET /v1/load} reports the load, after {@code POST /control/lag?ms=N} as it was N milliseconds
 * ago. {@code POST /control/slow?factor=F}, {@code /control/crash}, {@code /control/cut} and {@code
 * /control/refuse?on=B} inject faults.
 */
public final class EngineStandIn extends StandInServer {
  private static final long TICK_MILLIS = 2;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long DETACHED_STREAM_TTL_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final int DEFAULT_TOKENS = 20;
  private static final String PRIORITY_HEADER = "Priority";
  private static final Pattern URGENCY = Pattern.compile("\\bu=([0-7])\\b");
  private static final int DEFAULT_URGENCY = 3;

  private final int slots;
  private final long tokenMillis;
  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient http = HttpClient.newHttpClient();
  private final Deque<EngineJob> waiting = new ArrayDeque<>();
  private final List<EngineJob> running = new ArrayList<>();
  private final Map<String, EngineJob> detachedStreams = new LinkedHashMap<>();
  private final AtomicLong lastStreamNumber = new AtomicLong();
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
   * @param bindAddress listen address; port 0 selects a free port
   * @param slots maximum batch size
   * @param tokenMillis time between tokens in milliseconds
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
   * Returns the number of answers started; a resumed stream isn't counted again.
   *
   * @return count since the engine was created
   */
  public long started() {
    return started.get();
  }

  /**
   * Returns the number of answers whose client disconnected.
   *
   * @return count since the engine was created
   */
  public long cancelled() {
    return cancelled.get();
  }

  /**
   * Returns whether the engine has no work and retains no stream that could be resumed.
   *
   * @return true if no job is running, waiting or detached
   */
  public synchronized boolean isIdle() {
    return running.isEmpty() && waiting.isEmpty() && detachedStreams.isEmpty();
  }

  /**
   * Sets the slowdown of token generation.
   *
   * @param factor multiplier of the time between tokens; 1 for normal speed
   */
  public void setSlowFactor(int factor) {
    slowFactor = factor;
  }

  /**
   * Sets whether the engine refuses new work without starting it.
   *
   * @param refusing true to respond 503 to all new requests and resumptions
   */
  public void setRefusing(boolean refusing) {
    this.refusing = refusing;
  }

  /**
   * Sets the age of the load that the load report shows.
   *
   * @param millis age in milliseconds; 0 reports the current load
   */
  public void setReportLagMillis(long millis) {
    reportLagMillis = millis;
  }

  /** Aborts every answer and discards all streams, as a crash of the engine process does. */
  public synchronized void crash() {
    List<EngineJob> all = new ArrayList<>(running);
    all.addAll(waiting);
    running.clear();
    waiting.clear();
    detachedStreams.clear();
    all.forEach(EngineJob::detach);
  }

  /** Drops the connections of all running answers, as a network failure does. */
  public synchronized void dropConnections() {
    for (EngineJob j : List.copyOf(running)) {
      j.detach();
      running.remove(j);
      retainStream(j);
    }
  }

  @Override
  void serve(Request request, Response response, Callback callback) throws Exception {
    String path = path(request);
    if (path.startsWith(EngineHeaders.STREAMS_PREFIX)) {
      handleStreamRequest(
          path.substring(EngineHeaders.STREAMS_PREFIX.length()), request, response, callback);
      return;
    }
    switch (path) {
      case "/v1/chat/completions" -> handleCompletion(request, response, callback);
      case "/v1/load" -> sendJson(response, callback, 200, loadReport());
      default -> handleControl(path, request, response, callback);
    }
  }

  private void handleControl(String path, Request request, Response response, Callback callback) {
    switch (path) {
      case "/control/slow" -> setSlowFactor((int) longParameter(request, "factor", 1));
      case "/control/lag" -> setReportLagMillis(longParameter(request, "ms", 0));
      case "/control/crash" -> crash();
      case "/control/cut" -> dropConnections();
      case "/control/refuse" -> setRefusing(Boolean.parseBoolean(parameter(request, "on", "true")));
      default -> {
        sendJson(response, callback, 404, "{}");
        return;
      }
    }
    sendJson(response, callback, 200, "{}");
  }

  private synchronized String loadReport() {
    if (reportLagMillis == 0) {
      return currentLoadReport();
    }
    return history.reportAt(System.nanoTime() - reportLagMillis * NANOS_PER_MILLI);
  }

  private String currentLoadReport() {
    return "{\"running\":%d,\"waiting\":%d,\"slots\":%d,\"started\":%d,\"cancelled\":%d}"
        .formatted(running.size(), waiting.size(), slots, started.get(), cancelled.get());
  }

  private void handleCompletion(Request request, Response response, Callback callback)
      throws Exception {
    JsonNode body = mapper.readTree(readBody(request));
    if (refusing) {
      sendJson(response, callback, 503, "{\"error\":\"not started\"}");
      return;
    }
    boolean stream = body.path("stream").asBoolean(false);
    String id = address().getPort() + "-" + lastStreamNumber.incrementAndGet();
    EngineJob job = new EngineJob(id, body.path("max_tokens").asInt(DEFAULT_TOKENS), stream);
    enqueue(job, request, response, callback, 0);
  }

  private synchronized void enqueue(
      EngineJob job, Request request, Response response, Callback callback, int fromOffset) {
    response.setStatus(200);
    String type = job.isStream() ? "text/event-stream" : "application/json";
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    if (job.isStream()) {
      response.getHeaders().put(EngineHeaders.STREAM_ID, job.id());
      response.getHeaders().put(EngineHeaders.STREAM_OFFSET, Integer.toString(fromOffset));
    }
    job.attach(request, response, callback, fromOffset);
    job.urgency = urgency(request);
    waiting.add(job);
  }

  private static int urgency(Request request) {
    String field = request.getHeaders().get(PRIORITY_HEADER);
    Matcher m = URGENCY.matcher(field == null ? "" : field);
    return m.find() ? Integer.parseInt(m.group(1)) : DEFAULT_URGENCY;
  }

  private void handleStreamRequest(
      String rest, Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    String[] parts = rest.split("/");
    if (request.getMethod().equals("DELETE")) {
      removeJob(parts[0]);
      sendJson(response, callback, 200, "{}");
    } else if (parts.length == 2 && parts[1].equals("export")) {
      EngineJob job = removeJob(parts[0]);
      sendJson(
          response, callback, job == null ? 410 : 200, job == null ? "{}" : exportedState(job));
    } else if (parts.length == 2 && parts[1].equals("resume")) {
      handleResume(parts[0], request, response, callback);
    } else {
      sendJson(response, callback, 404, "{}");
    }
  }

  private String exportedState(EngineJob job) throws IOException {
    return mapper.writeValueAsString(job.state());
  }

  private void handleResume(String id, Request request, Response response, Callback callback)
      throws IOException, InterruptedException {
    if (refusing) {
      sendJson(response, callback, 503, "{\"error\":\"not started\"}");
      return;
    }
    String source = request.getHeaders().get(EngineHeaders.STREAM_SOURCE);
    boolean local = source == null || source.equals(Addresses.format(address()));
    EngineJob job = local ? removeJob(id) : fetchJob(source, id);
    long offset = request.getHeaders().getLongField(EngineHeaders.STREAM_OFFSET);
    if (job == null || offset < 0 || offset > job.textLength()) {
      sendJson(response, callback, 410, "{\"error\":\"no such stream\"}");
      return;
    }
    enqueue(job, request, response, callback, (int) offset);
  }

  /** Removes a running, waiting or detached job and drops its connection. */
  private synchronized @Nullable EngineJob removeJob(String id) {
    EngineJob job = detachedStreams.remove(id);
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

  private @Nullable EngineJob fetchJob(String source, String id) throws InterruptedException {
    URI uri = URI.create("http://" + source + EngineHeaders.STREAMS_PREFIX + id + "/export");
    HttpRequest post =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.noBody()).build();
    try {
      HttpResponse<String> r = http.send(post, HttpResponse.BodyHandlers.ofString());
      return r.statusCode() == 200
          ? new EngineJob(mapper.readValue(r.body(), EngineJob.State.class))
          : null;
    } catch (IOException e) {
      return null;
    }
  }

  private synchronized void tick() {
    long now = System.nanoTime();
    detachedStreams.values().removeIf(j -> now - j.expiryNanos >= 0);
    history.add(now, currentLoadReport());
    while (running.size() < slots && !waiting.isEmpty()) {
      EngineJob j = Collections.min(waiting, Comparator.comparingInt(w -> w.urgency));
      waiting.remove(j);
      j.nextTokenNanos = now + tokenNanos();
      if (j.markStarted()) {
        started.incrementAndGet();
      }
      running.add(j);
    }
    running.removeIf(j -> advance(j, now));
  }

  private long tokenNanos() {
    return tokenMillis * slowFactor * NANOS_PER_MILLI;
  }

  private boolean advance(EngineJob j, long now) {
    if (j.isDisconnected()) {
      cancelled.incrementAndGet();
      j.failExchange();
      retainStream(j);
      return true;
    }
    if (now - j.nextTokenNanos >= 0 && !j.isPaused()) {
      j.generate();
      j.nextTokenNanos += tokenNanos();
    }
    return j.write();
  }

  private void retainStream(EngineJob j) {
    if (j.isStream()) {
      j.expiryNanos = System.nanoTime() + DETACHED_STREAM_TTL_NANOS;
      detachedStreams.put(j.id(), j);
    }
  }
}
