package org.wigeonwharf.standin.relay;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.wigeonwharf.standin.fleet.Fleet;

/**
 * Compares the time to the first token through a router with that of direct calls to the same
 * engines. Streamed calls are sent to one router process at a fixed rate, with direct calls in
 * between.
 */
final class SpeedMeasurement implements AutoCloseable {
  private static final String DOMAIN = "hobart-a";
  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final int ENGINES = 4;
  private static final int SLOTS_PER_ENGINE = 160;
  private static final long TOKEN_MILLIS = 10;
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int TOKENS_PER_CALL = 260;
  private static final int DIRECT_EVERY = 10;
  private static final int WARMUP_SECONDS = 5;
  private static final int MEASURED_SECONDS = 15;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String NO_LIMITS_SETTINGS =
      """
      [accounts.theatre-royal.limits]
      requests_per_second = 100000
      concurrent = 100000
      """;

  private final Fleet fleet;
  private final List<InetSocketAddress> engineAddresses = new ArrayList<>();
  private final InetSocketAddress routerAddress;
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** Pending calls and results of one kind of call: routed or direct. */
  private static final class Calls {
    final Histogram firstTokenMicros = new Histogram(3);
    final List<CompletableFuture<StreamCall.Result>> pending = new ArrayList<>();
    final LongAdder newlines;
    int completed;

    Calls(LongAdder newlines) {
      this.newlines = newlines;
    }

    void collectResults() {
      for (CompletableFuture<StreamCall.Result> p : pending) {
        StreamCall.Result r = p.join();
        if (r.complete()) {
          completed++;
          firstTokenMicros.recordValue(r.firstByteMicros());
        }
      }
    }

    double firstTokenMillisAt(double percentile) {
      return firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
  }

  SpeedMeasurement(Path config) throws IOException, InterruptedException {
    fleet = new Fleet(config);
    for (int i = 0; i < ENGINES; i++) {
      engineAddresses.add(
          fleet.addEngine("assistant", "a" + i, DOMAIN, SLOTS_PER_ENGINE, TOKEN_MILLIS));
    }
    routerAddress = fleet.addRouter("vm1", DOMAIN).callers();
    fleet.addRouter("vm2", DOMAIN);
    fleet.publish();
    fleet.publishFile("95-no-limits.toml", NO_LIMITS_SETTINGS);
    fleet.awaitReady();
  }

  void run(PrintStream out) {
    LongAdder routedNewlines = new LongAdder();
    LongAdder directNewlines = new LongAdder();
    offerLoad(WARMUP_SECONDS, new Calls(routedNewlines), new Calls(directNewlines));
    routedNewlines.reset();
    directNewlines.reset();
    Calls routed = new Calls(routedNewlines);
    Calls direct = new Calls(directNewlines);
    offerLoad(MEASURED_SECONDS, routed, direct);
    final long routedTokens = routedNewlines.sum() / StreamCall.NEWLINES_PER_EVENT;
    final long directTokens = directNewlines.sum() / StreamCall.NEWLINES_PER_EVENT;
    routed.collectResults();
    direct.collectResults();
    out.println("| calls | whole / offered | tokens/s | first token p50 | p99 |");
    out.println("| --- | --- | --- | --- | --- |");
    print(out, "direct", direct, directTokens);
    print(out, "routed", routed, routedTokens);
    out.printf(
        "%nadded time to the first token, as a ratio to the direct call: p50 %.2f, p99 %.2f%n",
        routed.firstTokenMillisAt(50) / direct.firstTokenMillisAt(50) - 1,
        routed.firstTokenMillisAt(99) / direct.firstTokenMillisAt(99) - 1);
  }

  private static void print(PrintStream out, String name, Calls c, long tokens) {
    out.printf(
        "| %s | %d / %d | %d | %.1f ms | %.1f ms |%n",
        name,
        c.completed,
        c.pending.size(),
        tokens / MEASURED_SECONDS,
        c.firstTokenMillisAt(50),
        c.firstTokenMillisAt(99));
  }

  private void offerLoad(int seconds, Calls routed, Calls direct) {
    long intervalNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
    long nextNanos = System.nanoTime();
    for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
      routed.pending.add(call(routerAddress, routed.newlines));
      if (i % DIRECT_EVERY == 0) {
        direct.pending.add(call(engineAddresses.get(i / DIRECT_EVERY % ENGINES), direct.newlines));
      }
      nextNanos += intervalNanos;
      LockSupport.parkNanos(nextNanos - System.nanoTime());
    }
  }

  private CompletableFuture<StreamCall.Result> call(InetSocketAddress to, LongAdder newlines) {
    String body = "{\"max_tokens\":" + TOKENS_PER_CALL + ",\"stream\":true}";
    HttpRequest request =
        HttpRequest.newBuilder(Fleet.uri(to, CHAT_PATH))
            .header("Authorization", "Bearer demo-theatre-royal")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return new StreamCall(newlines).send(http, request, TOKENS_PER_CALL);
  }

  @Override
  public void close() {
    fleet.close();
  }
}
