package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.schedule.Lease;

/**
 * A BackendAttempt sends one request to one backend server once, under one lease.
 *
 * <p>Its verdict turns to {@link Verdict#MAY_HAVE_RUN} before the first byte is handed to the
 * connection. A lease found void at that moment aborts the attempt with nothing written.
 */
final class BackendAttempt {
  /** Why an attempt was aborted before anything was written. */
  static final class LeaseVoidException extends Exception {
    private static final long serialVersionUID = 1L;

    LeaseVoidException() {
      super("the lease was void before the write");
    }
  }

  /** Hears the attempt's course; calls come in the order of the methods, one at a time. */
  interface Listener {
    /** The head of the answer came; the content is to be read from the source to its end. */
    void answered(Response response, Content.Source content);

    /** The attempt failed, before or after {@link #answered}. */
    void failed(Throwable cause);
  }

  private final HttpClient client;
  private final Lease lease;
  private final Clock clock;
  private final Listener listener;
  private volatile Verdict verdict = Verdict.NOT_RUN;
  private volatile long writtenAtNanos;
  private volatile @Nullable Request request;

  BackendAttempt(HttpClient client, Lease lease, Clock clock, Listener listener) {
    this.client = client;
    this.lease = lease;
    this.clock = clock;
    this.listener = listener;
  }

  void send(String method, String path, HttpFields headers, byte[] body, long idleMillis) {
    BackendServer s = lease.server();
    Request r =
        client
            .newRequest(s.address().getAddress().getHostAddress(), s.address().getPort())
            .method(method)
            .path(path)
            .headers(h -> h.add(headers))
            .idleTimeout(idleMillis, TimeUnit.MILLISECONDS)
            .body(new ByteBufferRequestContent(ByteBuffer.wrap(body)))
            .onRequestBegin(this::begin)
            .onResponseContentSource(this::answered);
    request = r;
    r.send(
        result -> {
          if (result.isFailed()) {
            listener.failed(result.getFailure());
          }
        });
  }

  private void begin(Request r) {
    if (lease.isVoid(clock.nanos())) {
      r.abort(new LeaseVoidException());
      return;
    }
    writtenAtNanos = clock.nanos();
    verdict = Verdict.MAY_HAVE_RUN;
  }

  private void answered(Response response, Content.Source content) {
    listener.answered(response, content);
  }

  void abort(Throwable cause) {
    Request r = request;
    if (r != null) {
      r.abort(cause);
    }
  }

  Verdict verdict() {
    return verdict;
  }

  long millisSinceWrite() {
    if (verdict == Verdict.NOT_RUN) {
      return 0;
    }
    return (clock.nanos() - writtenAtNanos) / Clock.NANOS_PER_MILLI;
  }
}
