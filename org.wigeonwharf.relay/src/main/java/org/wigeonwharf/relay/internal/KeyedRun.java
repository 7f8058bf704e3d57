package org.wigeonwharf.relay.internal;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.EOFException;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayHeaders;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.relay.keys.EndListener;
import org.wigeonwharf.relay.keys.HeaderLine;
import org.wigeonwharf.relay.keys.KeyedAnswer;
import org.wigeonwharf.relay.keys.KeyedRequest;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.SlotSource;

/** A KeyedRun takes one keyed request through its only attempt and keeps the whole answer. */
final class KeyedRun implements SlotListener, BackendAttempt.Listener {
  private static final int BAD_GATEWAY = 502;
  private static final long BACKEND_IDLE_MILLIS = 60_000;
  private static final String EVENT_STREAM = "text/event-stream";

  private final RequestId id;
  private final KeyedRequest request;
  private final RequestTraits traits;
  private final SlotSource slots;
  private final HttpClient client;
  private final Clock clock;
  private final EndListener listener;

  private @Nullable Lease lease;
  private @Nullable BackendAttempt attempt;
  private boolean answered;
  private boolean ended;

  KeyedRun(
      RequestId id,
      KeyedRequest request,
      RequestTraits traits,
      SlotSource slots,
      HttpClient client,
      Clock clock,
      EndListener listener) {
    this.id = id;
    this.request = request;
    this.traits = traits;
    this.slots = slots;
    this.client = client;
    this.clock = clock;
    this.listener = listener;
  }

  void start(ShardId shard, long revision) {
    slots.acquire(
        new SlotRequest(
            id, shard, request.serviceClass(), request.account(), 0, 0, 0, false, revision),
        this);
  }

  @Override
  public synchronized void granted(Lease granted) {
    lease = granted;
    BackendAttempt a = new BackendAttempt(client, granted, clock, this);
    attempt = a;
    byte[] body = request.body().toByteArray();
    a.send(request.method(), request.path(), headers(), body, BACKEND_IDLE_MILLIS);
  }

  private HttpFields headers() {
    HttpFields.Mutable headers = HttpFields.build();
    request.headers().forEach(h -> headers.add(h.name(), h.value()));
    headers.put(RelayHeaders.REQUEST_ID, id.toString());
    headers.put(RelayHeaders.SERVICE_CLASS, request.serviceClass().value());
    return headers;
  }

  @Override
  public synchronized void refused(RefusalReason reason, long retryAfterMillis) {
    end(Either.left(Problem.refused(reason, Verdict.NOT_RUN, retryAfterMillis)));
  }

  /** Unrepeatable work is never preempted: it can't run again. */
  @Override
  public void preempted() {}

  @Override
  public synchronized void answered(Response response, Content.Source content) {
    if (traits.service().notStartedStatuses().contains(response.getStatus())) {
      answered = true;
      content.fail(new EOFException("not started"));
      endLease(LeaseEnd.NOT_STARTED);
      end(failure(Verdict.NOT_RUN, "The backend server did not start the request."));
      return;
    }
    answered = true;
    Content.Source.asByteArrayAsync(content, KeyedAnswer.MAX_BODY_BYTES)
        .whenComplete((body, failure) -> read(response, body, failure));
  }

  private synchronized void read(
      Response response, byte @Nullable [] body, @Nullable Throwable failure) {
    if (body != null && isWhole(response, body)) {
      endLease(LeaseEnd.FINISHED);
      end(Either.right(answer(response, body)));
      return;
    }
    currentAttempt().abort(failure == null ? new EOFException("cut short") : failure);
    endLease(LeaseEnd.FAILED);
    boolean tooLong = failure instanceof IllegalStateException;
    String detail = tooLong ? "The answer is too long." : "The answer was cut short.";
    end(failure(Verdict.MAY_HAVE_RUN, detail));
  }

  private static boolean isWhole(Response response, byte[] body) {
    String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
    if (type == null || !type.startsWith(EVENT_STREAM)) {
      return true;
    }
    AnswerWatch watch = new AnswerWatch();
    watch.feed(ByteBuffer.wrap(body));
    return watch.isDone();
  }

  private KeyedAnswer answer(Response response, byte[] body) {
    List<HeaderLine> lines =
        response.getHeaders().stream()
            .filter(f -> !HopByHop.contains(f))
            .map(f -> new HeaderLine(f.getName(), String.valueOf(f.getValue())))
            .toList();
    String server = currentLease().server().id().value();
    return new KeyedAnswer(response.getStatus(), lines, ByteString.copyFrom(body), server);
  }

  @Override
  public synchronized void failed(Throwable cause) {
    if (answered) {
      return;
    }
    answered = true;
    Verdict v = currentAttempt().verdict();
    endLease(v == Verdict.NOT_RUN ? LeaseEnd.NOT_STARTED : LeaseEnd.FAILED);
    end(failure(v, "The backend server could not be reached or broke off."));
  }

  private static Either<Problem, KeyedAnswer> failure(Verdict verdict, String detail) {
    return Either.left(new Problem(BAD_GATEWAY, "backend-failed", detail, verdict, 0));
  }

  private void end(Either<Problem, KeyedAnswer> end) {
    if (!ended) {
      ended = true;
      listener.ended(end);
    }
  }

  private void endLease(LeaseEnd end) {
    Lease l = currentLease();
    long millis = currentAttempt().millisSinceWrite();
    slots.end(
        new Outcome(id, l.request().shard(), l.number(), l.server().id(), end, millis, 0, millis));
  }

  private Lease currentLease() {
    Lease l = lease;
    if (l == null) {
      throw new IllegalStateException("no lease");
    }
    return l;
  }

  private BackendAttempt currentAttempt() {
    BackendAttempt a = attempt;
    if (a == null) {
      throw new IllegalStateException("no attempt");
    }
    return a;
  }
}
