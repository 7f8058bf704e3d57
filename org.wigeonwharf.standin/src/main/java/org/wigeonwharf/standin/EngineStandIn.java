package org.wigeonwharf.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * An EngineStandIn is a model engine with a continuous batch of some slots and a fixed token time.
 *
 * <p>{@code POST /v1/chat/completions} takes {@code max_tokens} and {@code stream}; token number
 * <i>i</i> of every answer is {@code t}<i>i</i>. {@code GET /v1/load} reports load. {@code POST
 * /control/slow?factor=F}, {@code /control/crash} and {@code /control/refuse?on=B} bring faults.
 */
public final class EngineStandIn extends StandInServer {
  private static final long TICK_MILLIS = 2;
  private static final int DEFAULT_TOKENS = 20;

  private final int slots;
  private final long tokenMillis;
  private final ObjectMapper json = new ObjectMapper();
  private final Deque<Job> waiting = new ArrayDeque<>();
  private final List<Job> running = new ArrayList<>();
  private final AtomicLong started = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final ScheduledExecutorService ticker =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "engine");
            t.setDaemon(true);
            return t;
          });
  private volatile int slowFactor = 1;
  private volatile boolean refusing;

  /** One answer being generated. */
  private static final class Job {
    final Request request;
    final Response response;
    final Callback callback;
    final int tokens;
    final boolean stream;
    final StringBuilder whole = new StringBuilder();
    int sent;
    long nextNanos;
    volatile boolean writing;
    volatile boolean gone;

    Job(Request request, Response response, Callback callback, int tokens, boolean stream) {
      this.request = request;
      this.response = response;
      this.callback = callback;
      this.tokens = tokens;
      this.stream = stream;
    }
  }

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
   * Returns how many answers were begun.
   *
   * @return a count since the start
   */
  public long started() {
    return started.get();
  }

  /**
   * Returns how many answers ended because the other side left.
   *
   * @return a count since the start
   */
  public long cancelled() {
    return cancelled.get();
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

  /** Breaks off every answer, as a crash of the engine process does. */
  public synchronized void crash() {
    List<Job> all = new ArrayList<>(running);
    all.addAll(waiting);
    running.clear();
    waiting.clear();
    all.forEach(j -> drop(j.request, j.callback));
  }

  @Override
  void answer(Request request, Response response, Callback callback) throws Exception {
    switch (path(request)) {
      case "/v1/chat/completions" -> complete(request, response, callback);
      case "/v1/load" -> json(response, callback, 200, load());
      case "/control/slow" -> {
        setSlowFactor((int) number(request, "factor", 1));
        json(response, callback, 200, "{}");
      }
      case "/control/crash" -> {
        crash();
        json(response, callback, 200, "{}");
      }
      case "/control/refuse" -> {
        setRefusing(Boolean.parseBoolean(text(request, "on", "true")));
        json(response, callback, 200, "{}");
      }
      default -> json(response, callback, 404, "{}");
    }
  }

  private synchronized String load() {
    return "{\"running\":%d,\"waiting\":%d,\"slots\":%d,\"started\":%d,\"cancelled\":%d}"
        .formatted(running.size(), waiting.size(), slots, started.get(), cancelled.get());
  }

  private void complete(Request request, Response response, Callback callback) throws Exception {
    JsonNode body = json.readTree(body(request));
    if (refusing) {
      json(response, callback, 503, "{\"error\":\"not started\"}");
      return;
    }
    int tokens = body.path("max_tokens").asInt(DEFAULT_TOKENS);
    boolean stream = body.path("stream").asBoolean(false);
    response.setStatus(200);
    response
        .getHeaders()
        .put(HttpHeader.CONTENT_TYPE, stream ? "text/event-stream" : "application/json");
    synchronized (this) {
      waiting.add(new Job(request, response, callback, tokens, stream));
    }
  }

  private synchronized void tick() {
    long now = System.nanoTime();
    while (running.size() < slots && !waiting.isEmpty()) {
      Job j = waiting.poll();
      j.nextNanos = now + tokenMillis * slowFactor * 1_000_000;
      started.incrementAndGet();
      running.add(j);
    }
    running.removeIf(j -> step(j, now));
  }

  private boolean step(Job j, long now) {
    if (j.gone) {
      cancelled.incrementAndGet();
      j.callback.failed(new IOException("caller left"));
      return true;
    }
    if (j.writing || now < j.nextNanos) {
      return false;
    }
    if (j.sent == j.tokens) {
      finish(j);
      return true;
    }
    j.nextNanos += tokenMillis * slowFactor * 1_000_000;
    String token = "t" + j.sent++;
    if (!j.stream) {
      j.whole.append(token).append(' ');
      return false;
    }
    j.writing = true;
    j.response.write(
        false,
        utf8("data: {\"token\":\"" + token + "\"}\n\n"),
        Callback.from(() -> j.writing = false, t -> fail(j)));
    return false;
  }

  private static void fail(Job j) {
    j.gone = true;
    j.writing = false;
  }

  private static void finish(Job j) {
    String end =
        j.stream
            ? "data: [DONE]\n\n"
            : "{\"text\":\"" + j.whole.toString().trim() + "\",\"tokens\":" + j.tokens + "}";
    j.response.write(true, utf8(end), j.callback);
  }

  private static ByteBuffer utf8(String s) {
    return ByteBuffer.wrap(s.getBytes(StandardCharsets.UTF_8));
  }
}
