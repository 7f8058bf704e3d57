package org.wigeonwharf.standin.relay;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** A StreamCall makes one streamed call and times its first token. */
final class StreamCall {
  private static final long NANOS_PER_MICRO = 1_000;

  /** Lines that each token takes in a stream. */
  static final int NEWLINES_PER_EVENT = 2;

  private final long startNanos = System.nanoTime();
  private final LongAdder totalNewlines;
  private final AtomicInteger newlines = new AtomicInteger();
  private volatile long firstByteMicros = -1;

  /**
   * Creates a call that starts now.
   *
   * @param totalNewlines counts the lines of all calls of a kind as they arrive
   */
  StreamCall(LongAdder totalNewlines) {
    this.totalNewlines = totalNewlines;
  }

  /**
   * What one call gave.
   *
   * @param complete true if all tokens and the terminator came
   * @param firstByteMicros time to the first byte of the body, in microseconds
   */
  record Result(boolean complete, long firstByteMicros) {}

  CompletableFuture<Result> send(HttpClient client, HttpRequest request, int tokens) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArrayConsumer(this::receive))
        .handle((response, failure) -> result(response, tokens));
  }

  private void receive(Optional<byte[]> chunk) {
    if (chunk.isEmpty()) {
      return;
    }
    if (firstByteMicros < 0) {
      firstByteMicros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }
    int count = 0;
    for (byte b : chunk.get()) {
      if (b == '\n') {
        count++;
      }
    }
    newlines.addAndGet(count);
    totalNewlines.add(count);
  }

  private Result result(HttpResponse<Void> response, int tokens) {
    int events = newlines.get() / NEWLINES_PER_EVENT;
    boolean complete = response != null && response.statusCode() == 200 && events == tokens + 1;
    return new Result(complete, firstByteMicros);
  }
}
