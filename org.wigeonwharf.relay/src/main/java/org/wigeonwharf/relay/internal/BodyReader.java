package org.wigeonwharf.relay.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayLimits;

/** Reads complete request bodies, with limits on size, total memory and time. */
final class BodyReader {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final RelayLimits limits;
  private final BodyBudget budget;

  BodyReader(RelayLimits limits) {
    this.limits = limits;
    this.budget = new BodyBudget(limits.maxTotalBodyBytes());
  }

  /** Returns an upper bound for the size of a request's body, in bytes. */
  long maxBodyBytes(Request request) {
    long length = request.getLength();
    return length < 0 ? limits.maxBodyBytes() : length;
  }

  boolean tryReserve(long bytes) {
    return budget.tryReserve(bytes);
  }

  void release(long bytes) {
    budget.release(bytes);
  }

  CompletableFuture<byte[]> read(Request request) {
    Scheduler scheduler = request.getComponents().getScheduler();
    Scheduler.Task timeout =
        scheduler.schedule(
            () -> request.fail(new TimeoutException("timeout while reading the request body")),
            limits.bodyTimeoutMillis(),
            TimeUnit.MILLISECONDS);
    return Content.Source.asByteArrayAsync(request, limits.maxBodyBytes())
        .whenComplete((body, failure) -> timeout.cancel());
  }

  Problem tooLarge() {
    return Problem.badRequest(
        413, "body-too-large", "The body is longer than " + limits.maxBodyBytes() + " bytes.");
  }

  Problem bufferFull() {
    return new Problem(
        503, "memory", "Too many bodies are held.", Verdict.NOT_RUN, RETRY_AFTER_MILLIS);
  }

  /** Returns the problem of a body that could not be read; its request was not run. */
  Problem readFailed(@Nullable Throwable thrown) {
    Throwable failure = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    if (failure instanceof TimeoutException) {
      return Problem.badRequest(408, "body-timeout", "The body took too long.");
    }
    if (failure instanceof HttpException) {
      return Problem.badRequest(400, "bad-body", "The body's framing is wrong.");
    }
    if (failure instanceof IllegalStateException) {
      return tooLarge();
    }
    return Problem.badRequest(400, "body-incomplete", "The body ended early.");
  }
}
