package org.wigeonwharf.relay.internal;

import java.nio.ByteBuffer;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayHeaders;
import org.wigeonwharf.relay.keys.IdempotencyKey;

/** The caller's side of one request: its HTTP request, response and callback. */
final class CallerExchange {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final Set<Integer> CLOSING_STATUSES = Set.of(401, 408, 413, 429);

  private final Request request;
  private final Response response;
  private final RequestId id;
  private final BooleanSupplier draining;
  private Callback callback;

  CallerExchange(
      Request request,
      Response response,
      Callback callback,
      RequestId id,
      BooleanSupplier draining) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.id = id;
    this.draining = draining;
  }

  /** Adds an action that runs once the response is written or the exchange has failed. */
  void onCompletion(Runnable action) {
    callback = Callback.from(callback, action);
  }

  /** Returns whether the process is stopping; keys that it issued become useless then. */
  boolean isDraining() {
    return draining.getAsBoolean();
  }

  private void closeIfDraining() {
    if (isDraining()) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }
  }

  RequestId id() {
    return id;
  }

  Request request() {
    return request;
  }

  Response response() {
    return response;
  }

  Callback callback() {
    return callback;
  }

  /** Sets the response head from that of a backend server, without hop-by-hop headers. */
  void setHead(int status, HttpFields fields, String serviceClass, String server, Verdict verdict) {
    response.reset();
    closeIfDraining();
    response.setStatus(status);
    for (HttpField f : fields) {
      if (!HopByHopHeaders.isHopByHop(f) && !HopByHopHeaders.isConnectionOption(f, fields)) {
        response.getHeaders().add(f);
      }
    }
    HttpField length = fields.getField(HttpHeader.CONTENT_LENGTH);
    if (length != null) {
      response.getHeaders().put(length);
    }
    response.getHeaders().put(RelayHeaders.REQUEST_ID, id.toString());
    response.getHeaders().put(RelayHeaders.SERVICE_CLASS, serviceClass);
    response.getHeaders().put(RelayHeaders.SERVER, server);
    response.getHeaders().put(RelayHeaders.VERDICT, verdict.wireName());
  }

  /**
   * Sends a problem; only possible before the response is committed.
   *
   * <p>For a request with an idempotency key, a verdict of not-run is reported as may-have-run: an
   * earlier arrival, known only to the key's issuer, may have run.
   */
  void sendProblem(Problem p) {
    String key = request.getHeaders().get(RelayHeaders.IDEMPOTENCY_KEY);
    boolean keyed = key != null && IdempotencyKey.parse(key).isRight();
    Verdict v = keyed && p.verdict() == Verdict.NOT_RUN ? Verdict.MAY_HAVE_RUN : p.verdict();
    Problem reported = new Problem(p.status(), p.reason(), p.detail(), v, p.retryAfterMillis());
    write(reported, null);
  }

  /** Sends the issuer's problem for a keyed request, and a new key if there is one. */
  void sendKeyedProblem(Problem p, @Nullable String newKey) {
    write(p, newKey);
  }

  private void write(Problem p, @Nullable String newKey) {
    response.reset();
    closeIfDraining();
    if (CLOSING_STATUSES.contains(p.status())) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }
    response.setStatus(p.status());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, Problem.MEDIA_TYPE);
    response.getHeaders().put(RelayHeaders.REQUEST_ID, id.toString());
    response.getHeaders().put(RelayHeaders.VERDICT, p.verdict().wireName());
    if (p.retryAfterMillis() > 0) {
      long seconds = (p.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
    }
    if (newKey != null) {
      response.getHeaders().put(RelayHeaders.IDEMPOTENCY_KEY, newKey);
    }
    response.write(true, ByteBuffer.wrap(p.toJson(id.toString())), callback);
  }
}
