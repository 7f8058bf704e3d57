package org.wigeonwharf.relay.internal;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.AccountSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.CallerAuthenticator;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayHeaders;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.relay.keys.HeaderLine;
import org.wigeonwharf.relay.keys.IdempotencyKey;
import org.wigeonwharf.relay.keys.KeyService;
import org.wigeonwharf.relay.keys.KeyedRequest;
import org.wigeonwharf.relay.keys.KeyedResponse;

/** Handles callers' requests for idempotency keys and their requests that carry one. */
final class KeyedRequestHandler {
  private static final String KEYS_PATH = "/v1/idempotency-keys";
  private static final int CREATED = 201;
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int PRECONDITION_REQUIRED = 428;

  private final KeyService keys;

  KeyedRequestHandler(KeyService keys) {
    this.keys = keys;
  }

  static boolean isKeysPath(String path) {
    return path.equals(KEYS_PATH);
  }

  /** Handles a request for a new key. */
  void issue(CallerExchange caller, CallerAuthenticator authenticator) {
    if (!caller.request().getMethod().equals("POST")) {
      caller.sendProblem(
          Problem.badRequest(METHOD_NOT_ALLOWED, "method", "Idempotency keys take POST."));
      return;
    }
    if (caller.isDraining()) {
      caller.sendProblem(
          Problem.refused(RefusalReason.STOPPING, Verdict.NOT_RUN, RETRY_AFTER_MILLIS));
      return;
    }
    String authorization = caller.request().getHeaders().get(HttpHeader.AUTHORIZATION);
    authenticator
        .authenticate(authorization)
        .ifPresentOrElse(
            a -> issue(caller, a),
            () ->
                caller.sendProblem(
                    Problem.badRequest(
                        401, "unauthenticated", "The bearer token is missing or unknown.")));
  }

  private void issue(CallerExchange caller, AccountSpec account) {
    String key = keys.issue(account.id()).toText();
    caller.response().setStatus(CREATED);
    caller.response().getHeaders().put(RelayHeaders.IDEMPOTENCY_KEY, key);
    caller.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    byte[] body = ("{\"key\":\"" + key + "\"}").getBytes(StandardCharsets.UTF_8);
    caller.response().write(true, ByteBuffer.wrap(body), caller.callback());
  }

  /**
   * Handles an unrepeatable request that carries a key or requires one.
   *
   * @return false if the request has to be relayed without a key, in at most one attempt
   */
  boolean tryHandle(CallerExchange caller, RequestTraits traits, byte[] body) {
    HttpFields headers = caller.request().getHeaders();
    String text = headers.get(RelayHeaders.IDEMPOTENCY_KEY);
    if (text != null) {
      IdempotencyKey.parse(text)
          .peekLeft(p -> sendProblem(caller, traits.account().id(), p))
          .peek(k -> dispatch(caller, traits, k, body));
      return true;
    }
    if (Boolean.parseBoolean(headers.get(RelayHeaders.REQUIRE_KEY))) {
      sendProblem(caller, traits.account().id(), keyRequired());
      return true;
    }
    return false;
  }

  private static Problem keyRequired() {
    return Problem.badRequest(
        PRECONDITION_REQUIRED,
        "key-required",
        "Send the request again with the key in the " + RelayHeaders.IDEMPOTENCY_KEY + " header.");
  }

  private void dispatch(
      CallerExchange caller, RequestTraits traits, IdempotencyKey key, byte[] body) {
    KeyedRequest request =
        new KeyedRequest(
            key,
            traits.account().id(),
            traits.service().id(),
            traits.serviceClass().id(),
            caller.request().getMethod(),
            traits.backendPath(),
            forwardedHeaders(caller.request().getHeaders()),
            ByteString.copyFrom(body));
    keys.dispatch(request, result -> completed(caller, traits, result));
  }

  private static List<HeaderLine> forwardedHeaders(HttpFields fields) {
    return fields.stream()
        .filter(
            f -> !HopByHopHeaders.isHopByHop(f) && !HopByHopHeaders.isConnectionOption(f, fields))
        .filter(f -> f.getHeader() != HttpHeader.AUTHORIZATION)
        .filter(f -> !f.getName().equalsIgnoreCase(RelayHeaders.IDEMPOTENCY_KEY))
        .map(f -> new HeaderLine(f.getName(), String.valueOf(f.getValue())))
        .toList();
  }

  private void completed(
      CallerExchange caller, RequestTraits traits, Either<Problem, KeyedResponse> result) {
    if (result.isLeft()) {
      sendProblem(caller, traits.account().id(), result.getLeft());
      return;
    }
    KeyedResponse response = result.get();
    HttpFields.Mutable fields = HttpFields.build();
    response.headers().forEach(h -> fields.add(h.name(), h.value()));
    fields.put(HttpHeader.CONTENT_LENGTH, response.body().size());
    caller.setHead(
        response.status(),
        fields,
        traits.serviceClass().id().value(),
        response.server(),
        response.verdict());
    caller.response().write(true, response.body().asReadOnlyByteBuffer(), caller.callback());
  }

  /** Sends a problem and, if the request was not run, a new key for a retry. */
  private void sendProblem(CallerExchange caller, AccountId account, Problem p) {
    boolean retryable = p.verdict() == Verdict.NOT_RUN && !caller.isDraining();
    @Nullable String newKey = retryable ? keys.issue(account).toText() : null;
    caller.sendKeyedProblem(p, newKey);
  }
}
