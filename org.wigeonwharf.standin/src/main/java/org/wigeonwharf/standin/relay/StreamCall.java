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
  private final LongAdder received;
  private final AtomicInteger newlines = new AtomicInteger();
  private volatile long firstMicros = -1;

  /**
   * Creates a call that starts now.
   *
   * @param received counts the lines of all calls of a kind as they arrive
   */
  StreamCall(LongAdder received) {
    this.received = received;
  }

  /**
   * What one call gave.
   *
   * @param whole true if all tokens and the terminator came
   * @param firstMicros time to the first byte of the body, in microseconds
   */
  record Result(boolean whole, long firstMicros) {}

  CompletableFuture<Result> send(HttpClient client, HttpRequest request, int tokens) {
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArrayConsumer(this::bytes))
        .handle((response, failure) -> result(response, tokens));
  }

  private void bytes(Optional<byte[]> some) {
    if (some.isEmpty()) {
      return;
    }
    if (firstMicros < 0) {
      firstMicros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }
    int count = 0;
    for (byte b : some.get()) {
      if (b == '\n') {
        count++;
      }
    }
    newlines.addAndGet(count);
    received.add(count);
  }

  private Result result(HttpResponse<Void> response, int tokens) {
    int events = newlines.get() / NEWLINES_PER_EVENT;
    boolean whole = response != null && response.statusCode() == 200 && events == tokens + 1;
    return new Result(whole, firstMicros);
  }
}
