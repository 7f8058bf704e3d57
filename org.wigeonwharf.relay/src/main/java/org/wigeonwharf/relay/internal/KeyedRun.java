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

/** A KeyedRun takes one keyed request through its only attempt and gathers the whole answer. */
final class KeyedRun implements SlotListener, BackendAttempt.Listener {
  private static final int BAD_GATEWAY = 502;

  private final RequestId id;
  private final KeyedRequest request;
  private final RequestTraits traits;
  private final RelayContext context;
  private final CompletionListener listener;
  private final AnswerProgress progress;

  private @Nullable LeaseUse use;
  private boolean ended;

  KeyedRun(
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
    this.progress = new AnswerProgress(traits.service());
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
    LeaseUse u = new LeaseUse(lease, id, context.slots(), attempt, 0);
    if (ended || use != null) {
      u.end(LeaseEnd.RETURNED, 0);
      return;
    }
    use = u;
    BackendRequest sent = BackendRequest.of(id, request);
    attempt.send(context.fresh(), sent, context.limits().backendIdleMillis());
  }

  /** Takes a refusal as the end only while nothing was sent. */
  @Override
  public synchronized void refused(RefusalReason reason, long retryAfterMillis) {
    if (use == null) {
      end(Either.left(Problem.refused(reason, Verdict.NOT_RUN, retryAfterMillis)));
    }
  }

  /** Unrepeatable work is never preempted: it can't run again. */
  @Override
  public void preempted() {}

  @Override
  public synchronized void answered(
      BackendAttempt attempt, Response response, Content.Source content) {
    if (traits.service().notStartedStatuses().contains(response.getStatus())) {
      end(LeaseEnd.NOT_STARTED, Verdict.NOT_RUN, "The backend server did not start the request.");
      attempt.abort(new EOFException("not started"));
      return;
    }
    currentUse().noteByte();
    progress.begin(response.getHeaders(), currentUse().lease().server());
    if (!progress.canShowItsEnd(request.method(), response)) {
      end(LeaseEnd.FAILED, Verdict.MAY_HAVE_RUN, "The answer has no marked end.");
      attempt.abort(new EOFException("no length"));
      return;
    }
    Content.Source.asByteArrayAsync(content, KeyedResponse.MAX_BODY_BYTES)
        .whenComplete((body, failure) -> read(response, body, failure));
  }

  private synchronized void read(
      Response response, byte @Nullable [] body, @Nullable Throwable failure) {
    if (body == null) {
      boolean tooLong = failure instanceof IllegalStateException;
      String detail = tooLong ? "The answer is too long." : "The answer was cut short.";
      end(LeaseEnd.FAILED, Verdict.MAY_HAVE_RUN, detail);
      currentUse().attempt().abort(new EOFException(detail));
      return;
    }
    progress.forwarded(ByteBuffer.wrap(body));
    if (!progress.isWhole()) {
      end(LeaseEnd.FAILED, Verdict.MAY_HAVE_RUN, "The answer was cut short.");
      return;
    }
    currentUse().end(LeaseEnd.FINISHED, progress.tokens());
    end(Either.right(answer(response, body)));
  }

  private KeyedResponse answer(Response response, byte[] body) {
    HttpFields fields = response.getHeaders();
    List<HeaderLine> lines =
        fields.stream()
            .filter(f -> !HopByHop.contains(f) && !HopByHop.isListed(f, fields))
            .map(f -> new HeaderLine(f.getName(), String.valueOf(f.getValue())))
            .toList();
    String server = currentUse().lease().server().id().value();
    return new KeyedResponse(response.getStatus(), lines, ByteString.copyFrom(body), server);
  }

  /** Takes a failure before the head; later ones are heard from the content. */
  @Override
  public synchronized void failed(BackendAttempt attempt, Throwable cause) {
    if (attempt.isLeaseVoid()) {
      end(LeaseEnd.RETURNED, Verdict.NOT_RUN, "The slot could not be used in time.");
      return;
    }
    boolean unsent = attempt.verdict() == Verdict.NOT_RUN;
    end(
        unsent ? LeaseEnd.NOT_STARTED : LeaseEnd.FAILED,
        attempt.verdict(),
        "The backend server could not be reached or broke off.");
  }

  private void end(LeaseEnd leaseEnd, Verdict verdict, String detail) {
    currentUse().end(leaseEnd, progress.tokens());
    end(Either.left(new Problem(BAD_GATEWAY, "backend-failed", detail, verdict, 0)));
  }

  private void end(Either<Problem, KeyedResponse> end) {
    if (!ended) {
      ended = true;
      listener.completed(end);
    }
  }

  private LeaseUse currentUse() {
    LeaseUse u = use;
    if (u == null) {
      throw new IllegalStateException("no lease");
    }
    return u;
  }
}
