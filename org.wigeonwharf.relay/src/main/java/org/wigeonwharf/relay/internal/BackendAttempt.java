package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.schedule.Lease;

/**
 * A BackendAttempt sends one request to one backend server once, under one lease.
 *
 * <p>Its verdict turns to {@link Verdict#MAY_HAVE_RUN} before the first byte is handed to the
 * connection. A lease that goes void before that moment, also while the request queues for a
 * connection, ends the attempt with nothing written. A process that is paused between this check
 * and the write starts the request late: the verdict stays true, and the harm is at most the
 * requests that were between check and write at the pause.
 */
final class BackendAttempt {
  /** Why an attempt was aborted before anything was written. */
  static final class LeaseExpiredException extends Exception {
    private static final long serialVersionUID = 1L;

    LeaseExpiredException() {
      super("the lease was void before the write");
    }
  }

  /** Hears the attempt's course; calls come in the order of the methods, one at a time. */
  interface Listener {
    /** The head of the answer came; the content is to be read from the source to its end. */
    void onResponse(BackendAttempt attempt, Response response, Content.Source content);

    /** The attempt failed, before or after {@link #onResponse}. */
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
   * @param client a started client that neither follows, replays nor resends by itself
   * @param content what to send
   * @param idleTimeoutMillis longest silence of the connection
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
    long remainingNanos = Math.max(0, lease.voidAtNanos() - clock.nanos());
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
    State next = lease.isVoid(now) ? State.LEASE_EXPIRED : State.WRITTEN;
    if (!state.compareAndSet(State.QUEUED, next) || next == State.LEASE_EXPIRED) {
      r.abort(new LeaseExpiredException());
    }
  }

  private void onResponseContent(Response response, Content.Source content) {
    listener.onResponse(this, response, content);
  }

  /** Closes the attempt's connection; the listener hears of a failure. */
  void abort(Throwable cause) {
    abortCause = cause;
    Request r = request;
    if (r != null) {
      r.abort(cause);
    }
  }

  /** Tells whether the lease went void before anything was written. */
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
