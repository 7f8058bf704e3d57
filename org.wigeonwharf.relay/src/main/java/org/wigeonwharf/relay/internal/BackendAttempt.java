package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.http.HttpAnswers;
import org.wigeonwharf.http.MalformedAnswerException;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.schedule.Lease;

/**
 * Sends one request to one backend server once, under one lease.
 *
 * <p>The verdict becomes {@link Verdict#MAY_HAVE_RUN} before the first byte is passed to the
 * connection. If the lease expires earlier, for example while the request queues for a connection,
 * the attempt ends and nothing is written. If the process is paused between this check and the
 * write, the request starts after the lease has expired. The verdict is still true then, and only
 * the requests that were between check and write at the pause are affected.
 */
final class BackendAttempt {
  /** Thrown if a lease expired before anything was written. */
  static final class LeaseExpiredException extends Exception {
    private static final long serialVersionUID = 1L;

    LeaseExpiredException() {
      super("the lease expired before the request was written");
    }
  }

  /** Receives the events of an attempt, in the order of the methods and one at a time. */
  interface Listener {
    /** Called on the response head; the listener must read the content to its end. */
    void onResponse(BackendAttempt attempt, Response response, Content.Source content);

    /** Called if the attempt failed, before or after {@link #onResponse}. */
    void onAttemptFailed(BackendAttempt attempt, Throwable cause);
  }

  private enum State {
    QUEUED,
    LEASE_EXPIRED,
    WRITTEN
  }

  private final Lease lease;
  private final Clock clock;
  private final Listener listener;
  private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
  private volatile long writtenAtNanos;
  private volatile @Nullable Request request;
  private volatile @Nullable Throwable abortCause;

  BackendAttempt(Lease lease, Clock clock, Listener listener) {
    this.lease = lease;
    this.clock = clock;
    this.listener = listener;
  }

  /**
   * Sends the request.
   *
   * @param client a started client that follows no redirects and resends nothing on its own
   * @param content the request's method, path, headers and body
   * @param idleTimeoutMillis longest time without progress on the connection, in milliseconds
   */
  void send(HttpClient client, BackendRequest content, long idleTimeoutMillis) {
    BackendServer s = lease.server();
    Request r =
        client
            .newRequest(s.address().getAddress().getHostAddress(), s.address().getPort())
            .method(content.method())
            .path(content.path())
            .headers(h -> h.add(content.headers()))
            .idleTimeout(idleTimeoutMillis, TimeUnit.MILLISECONDS)
            .onRequestBegin(this::onRequestBegin)
            .onResponseContentSource(this::onResponseContent);
    if (content.hasBody()) {
      r.body(new ByteBufferRequestContent(content.mediaType(), ByteBuffer.wrap(content.body())));
    }
    request = r;
    long remainingNanos = Math.max(0, lease.expiresAtNanos() - clock.nanos());
    Scheduler.Task expiry =
        client.getScheduler().schedule(this::onLeaseExpired, remainingNanos, TimeUnit.NANOSECONDS);
    r.send(
        result -> {
          expiry.cancel();
          if (result.isFailed()) {
            listener.onAttemptFailed(this, result.getFailure());
          }
        });
    Throwable earlyAbort = abortCause;
    if (earlyAbort != null) {
      r.abort(earlyAbort);
    }
  }

  private void onLeaseExpired() {
    Request r = request;
    if (state.compareAndSet(State.QUEUED, State.LEASE_EXPIRED) && r != null) {
      r.abort(new LeaseExpiredException());
    }
  }

  private void onRequestBegin(Request r) {
    long now = clock.nanos();
    writtenAtNanos = now;
    State next = lease.isExpired(now) ? State.LEASE_EXPIRED : State.WRITTEN;
    if (!state.compareAndSet(State.QUEUED, next) || next == State.LEASE_EXPIRED) {
      r.abort(new LeaseExpiredException());
    }
  }

  private void onResponseContent(Response response, Content.Source content) {
    HttpVersion version = response.getVersion();
    boolean known = version == HttpVersion.HTTP_1_1 || version == HttpVersion.HTTP_1_0;
    if (!known || !HttpAnswers.isFinalStatus(response.getStatus())) {
      // The library passes on any number in place of a status or a version.
      abort(new MalformedAnswerException("status " + response.getStatus() + " of " + version));
      return;
    }
    listener.onResponse(this, response, content);
  }

  /** Closes the attempt's connection; the listener is told of the failure. */
  void abort(Throwable cause) {
    abortCause = cause;
    Request r = request;
    if (r != null) {
      r.abort(cause);
    }
  }

  /** Returns whether the lease expired before anything was written. */
  boolean isLeaseExpired() {
    return state.get() == State.LEASE_EXPIRED;
  }

  Verdict verdict() {
    return state.get() == State.WRITTEN ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
  }

  long millisSinceWrite() {
    if (state.get() != State.WRITTEN) {
      return 0;
    }
    return (clock.nanos() - writtenAtNanos) / Clock.NANOS_PER_MILLI;
  }
}
