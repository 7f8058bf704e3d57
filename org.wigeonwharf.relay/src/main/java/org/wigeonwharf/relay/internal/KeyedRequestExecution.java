package org.wigeonwharf.relay.internal;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.EOFException;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.relay.keys.CompletionListener;
import org.wigeonwharf.relay.keys.HeaderLine;
import org.wigeonwharf.relay.keys.KeyedRequest;
import org.wigeonwharf.relay.keys.KeyedResponse;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;

/** Executes one keyed request in a single attempt and buffers the complete response. */
final class KeyedRequestExecution implements SlotListener, BackendAttempt.Listener {
  private static final int BAD_GATEWAY = 502;

  private final RequestId id;
  private final KeyedRequest request;
  private final RequestTraits traits;
  private final RelayContext context;
  private final CompletionListener listener;
  private final ResponseProgress progress;

  private @Nullable LeasedAttempt leasedAttempt;
  private boolean completed;

  KeyedRequestExecution(
      RequestId id,
      KeyedRequest request,
      RequestTraits traits,
      RelayContext context,
      CompletionListener listener) {
    this.id = id;
    this.request = request;
    this.traits = traits;
    this.context = context;
    this.listener = listener;
    this.progress = new ResponseProgress(traits.service());
  }

  void start(ShardId shard, long revision) {
    context
        .slots()
        .acquire(
            new SlotRequest(
                id, shard, request.serviceClass(), request.account(), 0, 0, 0, false, revision),
            this);
  }

  @Override
  public synchronized void granted(Lease lease) {
    BackendAttempt attempt = new BackendAttempt(lease, context.clock(), this);
    LeasedAttempt next = new LeasedAttempt(lease, id, context.slots(), attempt, 0);
    if (completed || leasedAttempt != null) {
      next.end(LeaseEnd.RETURNED, 0);
      return;
    }
    leasedAttempt = next;
    BackendRequest backendRequest = BackendRequest.of(id, request);
    attempt.send(
        context.singleUseClient(), backendRequest, context.limits().backendIdleTimeoutMillis());
  }

  /** Ends the execution, unless the request was already sent. */
  @Override
  public synchronized void refused(RefusalReason reason, long retryAfterMillis) {
    if (leasedAttempt == null) {
      complete(Either.left(Problem.refused(reason, Verdict.NOT_RUN, retryAfterMillis)));
    }
  }

  /** Ignored: an unrepeatable request cannot run again and is never preempted. */
  @Override
  public void preempted() {}

  @Override
  public synchronized void onResponse(
      BackendAttempt attempt, Response response, Content.Source content) {
    if (traits.service().notStartedStatuses().contains(response.getStatus())) {
      complete(
          LeaseEnd.NOT_STARTED, Verdict.NOT_RUN, "The backend server did not start the request.");
      attempt.abort(new EOFException("the backend server did not start the request"));
      return;
    }
    currentLeasedAttempt().recordByte();
    progress.beginRun(response.getHeaders(), currentLeasedAttempt().lease().server());
    if (!progress.hasDetectableEnd(request.method(), response)) {
      complete(LeaseEnd.FAILED, Verdict.MAY_HAVE_RUN, "The answer has no marked end.");
      attempt.abort(new EOFException("the response has no detectable end"));
      return;
    }
    Content.Source.asByteArrayAsync(content, KeyedResponse.MAX_BODY_BYTES)
        .whenComplete((body, failure) -> bodyRead(response, body, failure));
  }

  private synchronized void bodyRead(
      Response response, byte @Nullable [] body, @Nullable Throwable failure) {
    if (body == null) {
      boolean tooLong = failure instanceof IllegalStateException;
      String detail = tooLong ? "The answer is too long." : "The answer was cut short.";
      complete(LeaseEnd.FAILED, Verdict.MAY_HAVE_RUN, detail);
      currentLeasedAttempt().attempt().abort(new EOFException(detail));
      return;
    }
    progress.recordForwarded(ByteBuffer.wrap(body));
    if (!progress.isComplete()) {
      complete(LeaseEnd.FAILED, Verdict.MAY_HAVE_RUN, "The answer was cut short.");
      return;
    }
    currentLeasedAttempt().end(LeaseEnd.FINISHED, progress.tokens());
    complete(Either.right(toKeyedResponse(response, body)));
  }

  private KeyedResponse toKeyedResponse(Response response, byte[] body) {
    HttpFields fields = response.getHeaders();
    List<HeaderLine> lines =
        fields.stream()
            .filter(
                f ->
                    !HopByHopHeaders.isHopByHop(f)
                        && !HopByHopHeaders.isConnectionOption(f, fields))
            .map(f -> new HeaderLine(f.getName(), String.valueOf(f.getValue())))
            .toList();
    String server = currentLeasedAttempt().lease().server().id().value();
    return new KeyedResponse(response.getStatus(), lines, ByteString.copyFrom(body), server);
  }

  /** Handles a failure before the response head; later ones are reported by the content source. */
  @Override
  public synchronized void onAttemptFailed(BackendAttempt attempt, Throwable cause) {
    if (attempt.isLeaseExpired()) {
      complete(LeaseEnd.RETURNED, Verdict.NOT_RUN, "The slot could not be used in time.");
      return;
    }
    boolean unsent = attempt.verdict() == Verdict.NOT_RUN;
    complete(
        unsent ? LeaseEnd.NOT_STARTED : LeaseEnd.FAILED,
        attempt.verdict(),
        "The backend server could not be reached or broke off.");
  }

  private void complete(LeaseEnd leaseEnd, Verdict verdict, String detail) {
    currentLeasedAttempt().end(leaseEnd, progress.tokens());
    complete(Either.left(new Problem(BAD_GATEWAY, "backend-failed", detail, verdict, 0)));
  }

  private void complete(Either<Problem, KeyedResponse> result) {
    if (!completed) {
      completed = true;
      listener.completed(result);
    }
  }

  private LeasedAttempt currentLeasedAttempt() {
    LeasedAttempt current = leasedAttempt;
    if (current == null) {
      throw new IllegalStateException("no lease was granted");
    }
    return current;
  }
}
