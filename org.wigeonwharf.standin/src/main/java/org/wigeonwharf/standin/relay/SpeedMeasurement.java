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
 * A SpeedMeasurement offers one router process streamed calls at a fixed rate, with direct calls to
 * the same engines in between, and compares the time to the first token.
 */
final class SpeedMeasurement implements AutoCloseable {
  private static final String DOMAIN = "hobart-a";
  private static final String CHAT = "/v1/chat/completions";
  private static final int ENGINES = 4;
  private static final int SLOTS = 160;
  private static final long TOKEN_MILLIS = 10;
  private static final int REQUESTS_PER_SECOND = 100;
  private static final int TOKENS = 260;
  private static final int DIRECT_EVERY = 10;
  private static final int WARMUP_SECONDS = 5;
  private static final int MEASURED_SECONDS = 15;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String NO_LIMITS =
      """
      [accounts.theatre-royal.limits]
      requests_per_second = 100000
      concurrent = 100000
      """;

  private final Fleet fleet;
  private final List<InetSocketAddress> engines = new ArrayList<>();
  private final InetSocketAddress router;
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** The calls of one kind and what they gave. */
  private static final class Calls {
    final Histogram first = new Histogram(3);
    final List<CompletableFuture<StreamCall.Result>> pending = new ArrayList<>();
    final LongAdder lines;
    int whole;

    Calls(LongAdder lines) {
      this.lines = lines;
    }

    void gather() {
      for (CompletableFuture<StreamCall.Result> p : pending) {
        StreamCall.Result r = p.join();
        if (r.whole()) {
          whole++;
          first.recordValue(r.firstMicros());
        }
      }
    }

    double millisAt(double percentile) {
      return first.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
  }

  SpeedMeasurement(Path config) throws IOException, InterruptedException {
    fleet = new Fleet(config);
    for (int i = 0; i < ENGINES; i++) {
      engines.add(fleet.addEngine("assistant", "a" + i, DOMAIN, SLOTS, TOKEN_MILLIS));
    }
    router = fleet.addRouter("vm1", DOMAIN).callers();
    fleet.addRouter("vm2", DOMAIN);
    fleet.publish();
    fleet.publishFile("95-no-limits.toml", NO_LIMITS);
    fleet.awaitReady();
  }

  void run(PrintStream out) {
    LongAdder routedLines = new LongAdder();
    LongAdder directLines = new LongAdder();
    offer(WARMUP_SECONDS, new Calls(routedLines), new Calls(directLines));
    routedLines.reset();
    directLines.reset();
    Calls routed = new Calls(routedLines);
    Calls direct = new Calls(directLines);
    offer(MEASURED_SECONDS, routed, direct);
    final long routedTokens = routedLines.sum() / StreamCall.NEWLINES_PER_EVENT;
    final long directTokens = directLines.sum() / StreamCall.NEWLINES_PER_EVENT;
    routed.gather();
    direct.gather();
    out.println("| calls | whole / offered | tokens/s | first token p50 | p99 |");
    out.println("| --- | --- | --- | --- | --- |");
    print(out, "direct", direct, directTokens);
    print(out, "routed", routed, routedTokens);
    out.printf(
        "%nadded time to the first token, as a ratio to the direct call: p50 %.2f, p99 %.2f%n",
        routed.millisAt(50) / direct.millisAt(50) - 1,
        routed.millisAt(99) / direct.millisAt(99) - 1);
  }

  private static void print(PrintStream out, String name, Calls c, long tokens) {
    out.printf(
        "| %s | %d / %d | %d | %.1f ms | %.1f ms |%n",
        name, c.whole, c.pending.size(), tokens / MEASURED_SECONDS, c.millisAt(50), c.millisAt(99));
  }

  private void offer(int seconds, Calls routed, Calls direct) {
    long gap = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
    long next = System.nanoTime();
    for (int i = 0; i < seconds * REQUESTS_PER_SECOND; i++) {
      routed.pending.add(call(router, routed.lines));
      if (i % DIRECT_EVERY == 0) {
        direct.pending.add(call(engines.get(i / DIRECT_EVERY % ENGINES), direct.lines));
      }
      next += gap;
      LockSupport.parkNanos(next - System.nanoTime());
    }
  }

  private CompletableFuture<StreamCall.Result> call(InetSocketAddress to, LongAdder lines) {
    String body = "{\"max_tokens\":" + TOKENS + ",\"stream\":true}";
    HttpRequest request =
        HttpRequest.newBuilder(Fleet.uri(to, CHAT))
            .header("Authorization", "Bearer demo-theatre-royal")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return new StreamCall(lines).send(http, request, TOKENS);
  }

  @Override
  public void close() {
    fleet.close();
  }
}
