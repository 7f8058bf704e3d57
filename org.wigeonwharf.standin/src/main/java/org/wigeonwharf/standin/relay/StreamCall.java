package org.wigeonwharf.standin.relay;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Makes one streamed call and measures the time to its first token. */
final class StreamCall {
  private static final long NANOS_PER_MICRO = 1_000;

  /** Each event of a stream, one per token, is a line of data followed by an empty line. */
  static final int NEWLINES_PER_EVENT = 2;

  private final long startNanos = System.nanoTime();
  private final LongAdder totalNewlines;
  private final AtomicInteger newlines = new AtomicInteger();
  private volatile long firstByteMicros = -1;

  /**
   * Creates a call whose time is measured from now on.
   *
   * @param totalNewlines counts the newlines received by all calls of the same kind
   */
  StreamCall(LongAdder totalNewlines) {
    this.totalNewlines = totalNewlines;
  }

  /**
   * Result of one call.
   *
   * @param complete true if all tokens and the terminating event were received
   * @param firstByteMicros time to the first byte of the body, in microseconds; -1 if none came
   */
  record Result(boolean complete, long firstByteMicros) {}

  /**
   * Sends the request.
   *
   * @param client the HTTP client
   * @param request the request, for a streamed response
   * @param tokens number of tokens that the request asks for
   * @return the result; a failed request gives an incomplete result instead of an exception
   */
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
