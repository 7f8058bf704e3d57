package org.wigeonwharf.relay.internal;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayMetrics;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * Relays one caller's request: acquires slots, makes attempts, forwards the response.
 *
 * <p>Once an attempt may have run, the verdict never returns to not-run, whatever later attempts or
 * refusals say. At most one attempt is open at a time; events of earlier ones are ignored.
 */
final class RelayedRequest
    implements SlotListener, BackendAttempt.Listener, ResponseForwarder.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(RelayedRequest.class);
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_RESUMES_AFTER_FAILURES = 3;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final CallerExchange caller;
  private final RequestTraits traits;
  private final byte[] body;
  private final ShardId shard;
  private final RelayContext context;
  private final long revision;
  private final long startNanos;
  private final ResponseProgress progress;
  private final RetryBudget budget;

  private Verdict verdict = Verdict.NOT_RUN;
  private @Nullable LeasedAttempt leasedAttempt;
  private int attempts;
  private int resumesAfterFailures;
  private boolean resuming;
  private boolean preempted;
  private boolean forwarding;
  private boolean finished;

  RelayedRequest(
      CallerExchange caller,
      RequestTraits traits,
      byte[] body,
      ShardId shard,
      RelayContext context,
      long revision) {
    this.caller = caller;
    this.traits = traits;
    this.body = body;
    this.shard = shard;
    this.context = context;
    this.revision = revision;
    this.startNanos = context.clock().nanos();
    this.progress = new ResponseProgress(traits.service());
    this.budget = context.retryBudgets().forService(traits.service().id());
  }

  void start() {
    budget.recordFirstAttempt();
    acquire();
  }

  private void acquire() {
    long waitedMillis = (context.clock().nanos() - startNanos) / Clock.NANOS_PER_MILLI;
    context
        .slots()
        .acquire(
            new SlotRequest(
                caller.id(),
                shard,
                traits.serviceClass().id(),
                traits.account().id(),
                0,
                0,
                waitedMillis,
                traits.repeatable(),
                revision),
            this);
  }

  @Override
  public synchronized void granted(Lease lease) {
    BackendAttempt attempt = new BackendAttempt(lease, context.clock(), this);
    LeasedAttempt next =
        new LeasedAttempt(lease, caller.id(), context.slots(), attempt, progress.tokens());
    if (finished) {
      next.end(LeaseEnd.RETURNED, progress.tokens());
      return;
    }
    leasedAttempt = next;
    forwarding = false;
    ResumePoint point = resuming ? progress.resumePoint() : null;
    if (point != null) {
      send(attempt, context.pooledClient(), BackendRequest.resume(point));
      return;
    }
    attempts++;
    HttpClient client = traits.repeatable() ? context.pooledClient() : context.singleUseClient();
    send(attempt, client, BackendRequest.of(caller, traits, body));
  }

  private void send(BackendAttempt attempt, HttpClient client, BackendRequest request) {
    attempt.send(client, request, context.limits().backendIdleTimeoutMillis());
  }

  @Override
  public synchronized void refused(RefusalReason reason, long retryAfterMillis) {
    end(Problem.refused(reason, verdict, retryAfterMillis));
  }

  @Override
  public synchronized void preempted() {
    LeasedAttempt current = leasedAttempt;
    if (finished || preempted || !forwarding || current == null || progress.resumePoint() == null) {
      return;
    }
    preempted = true;
    context.metrics().recordPreemption();
    current.end(LeaseEnd.CANCELLED, progress.tokens());
    current.attempt().abort(new CancellationException("preempted"));
  }

  @Override
  public synchronized void onResponse(
      BackendAttempt attempt, Response response, Content.Source content) {
    LeasedAttempt current = findCurrent(attempt);
    if (current == null) {
      attempt.abort(new CancellationException("the request has ended"));
      return;
    }
    if (traits.service().notStartedStatuses().contains(response.getStatus())) {
      leasedAttempt = null;
      attempt.abort(new EOFException("the backend server did not start the request"));
      current.end(LeaseEnd.NOT_STARTED, progress.tokens());
      notStarted();
    } else if (resuming) {
      resumeResponse(current, response, content);
    } else {
      beginResponse(current, response, content);
    }
  }

  private void notStarted() {
    if (resuming) {
      resumeOrTruncate(new EOFException("no engine resumed the stream"));
    } else {
      retryOrEnd(Verdict.NOT_RUN, "The backend server did not start the request.");
    }
  }

  private void resumeResponse(LeasedAttempt current, Response response, Content.Source content) {
    if (progress.tryResume(response, current.lease().server())) {
      forward(content);
      return;
    }
    abandon(current, new EOFException("the engine lost the stream"));
    resuming = false;
    progress.reset();
    recoverOrFail(new EOFException("the engine lost the stream"));
  }

  private void beginResponse(LeasedAttempt current, Response response, Content.Source content) {
    verdict = Verdict.MAY_HAVE_RUN;
    progress.beginRun(response.getHeaders(), current.lease().server());
    if (!progress.hasDetectableEnd(caller.request().getMethod(), response)) {
      abandon(current, new EOFException("the response has no detectable end"));
      end(backendFailed("The backend server's answer has no marked end."));
      return;
    }
    int status = response.getStatus();
    verdict = status < MIN_SERVER_ERROR_STATUS ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
    caller.setHead(
        status,
        response.getHeaders(),
        traits.serviceClass().id().value(),
        current.lease().server().id().value(),
        verdict);
    forward(content);
  }

  private void forward(Content.Source content) {
    forwarding = true;
    new ResponseForwarder(content, caller, this).forwardNext();
  }

  /** Aborts an attempt; its further events are ignored. */
  private void abandon(LeasedAttempt current, Throwable cause) {
    leasedAttempt = null;
    forwarding = false;
    current.attempt().abort(cause);
    current.end(LeaseEnd.FAILED, progress.tokens());
  }

  @Override
  public synchronized void onAttemptFailed(BackendAttempt attempt, Throwable cause) {
    LeasedAttempt current = findCurrent(attempt);
    if (current == null || forwarding) {
      return;
    }
    leasedAttempt = null;
    if (attempt.isLeaseExpired()) {
      current.end(LeaseEnd.RETURNED, progress.tokens());
      leaseExpired();
      return;
    }
    Verdict attemptVerdict = attempt.verdict();
    current.end(
        attemptVerdict == Verdict.NOT_RUN ? LeaseEnd.NOT_STARTED : LeaseEnd.FAILED,
        progress.tokens());
    if (resuming) {
      resumeOrTruncate(cause);
    } else {
      retryOrEnd(attemptVerdict, "The backend server could not be reached or broke off.");
    }
  }

  /** Acquires a new slot and spends no retry, as nothing was sent to a backend server. */
  private void leaseExpired() {
    if (resuming) {
      resumeOrTruncate(new BackendAttempt.LeaseExpiredException());
    } else if (attempts < MAX_ATTEMPTS) {
      acquire();
    } else {
      end(backendFailed("No lease could be used in time."));
    }
  }

  private void retryOrEnd(Verdict attemptVerdict, String detail) {
    if (attemptVerdict != Verdict.NOT_RUN) {
      verdict = Verdict.MAY_HAVE_RUN;
    }
    boolean retryable = attemptVerdict == Verdict.NOT_RUN || traits.repeatable();
    if (retryable && attempts < MAX_ATTEMPTS && budget.tryRetry()) {
      context.metrics().recordRetry();
      acquire();
      return;
    }
    end(backendFailed(detail));
  }

  private Problem backendFailed(String detail) {
    return new Problem(502, "backend-failed", detail, verdict, RETRY_AFTER_MILLIS);
  }

  @Override
  public synchronized void onContent(ByteBuffer content) {
    LeasedAttempt current = leasedAttempt;
    if (current != null && current.recordByte() && progress.forwardedBytes() == 0) {
      long nanos = context.clock().nanos() - startNanos;
      context.metrics().recordFirstByte(traits.serviceClass().id(), nanos);
    }
    progress.recordForwarded(content);
  }

  @Override
  public synchronized void onContentComplete() {
    if (!progress.isComplete()) {
      onBackendFailed(new EOFException("the stream ended without its terminator"));
      return;
    }
    endLease(LeaseEnd.FINISHED);
    if (end(RelayMetrics.End.ANSWERED)) {
      caller.response().write(true, null, caller.callback());
    }
  }

  @Override
  public synchronized void onBackendFailed(Throwable cause) {
    endLease(LeaseEnd.FAILED);
    leasedAttempt = null;
    forwarding = false;
    if (!finished) {
      recoverOrFail(cause);
    }
  }

  private void recoverOrFail(Throwable cause) {
    if (preempted) {
      preempted = false;
      resuming = true;
      context.metrics().recordResume();
      acquire();
    } else if (progress.resumePoint() != null) {
      resumeOrTruncate(cause);
    } else if (progress.forwardedBytes() == 0) {
      context.metrics().addWastedTokens(progress.tokens());
      progress.reset();
      retryOrEnd(Verdict.MAY_HAVE_RUN, "The backend server's answer broke off.");
    } else {
      truncate(cause);
    }
  }

  private void resumeOrTruncate(Throwable cause) {
    if (resumesAfterFailures >= MAX_RESUMES_AFTER_FAILURES) {
      truncate(cause);
      return;
    }
    resumesAfterFailures++;
    resuming = true;
    context.metrics().recordResume();
    acquire();
  }

  /** Ends the response in a way that shows the caller that it is incomplete. */
  private void truncate(Throwable cause) {
    if (!caller.response().isCommitted()) {
      end(backendFailed("The backend server's answer broke off."));
      return;
    }
    if (end(RelayMetrics.End.CUT)) {
      logIncomplete("answer.cut", cause);
      caller.callback().failed(cause);
    }
  }

  @Override
  public synchronized void onCallerFailed(Throwable cause) {
    LeasedAttempt current = leasedAttempt;
    if (end(RelayMetrics.End.CALLER_LEFT)) {
      logIncomplete("caller.gone", cause);
      if (current != null) {
        current.attempt().abort(cause);
      }
      cancelStream();
      caller.callback().failed(cause);
    }
    endLease(LeaseEnd.CANCELLED);
  }

  private void cancelStream() {
    ResumePoint point = progress.resumePoint();
    if (point != null) {
      StreamCanceller.cancel(context.pooledClient(), point);
    }
  }

  private void logIncomplete(String event, Throwable cause) {
    context.metrics().addWastedTokens(progress.tokens());
    LOG.atWarn()
        .addKeyValue("event", event)
        .addKeyValue("request", caller.id())
        .addKeyValue("forwarded_bytes", progress.forwardedBytes())
        .addKeyValue("reason", String.valueOf(cause.getMessage()))
        .log("response not delivered completely");
  }

  /** Ends with a problem, or truncates the response if it is already committed. */
  private void end(Problem problem) {
    if (caller.response().isCommitted()) {
      truncate(new EOFException(problem.reason()));
      return;
    }
    if (end(RelayMetrics.End.REFUSED)) {
      LOG.atInfo()
          .addKeyValue("event", "request.refused")
          .addKeyValue("request", caller.id())
          .addKeyValue("reason", problem.reason())
          .addKeyValue("verdict", problem.verdict().wireName())
          .log("request ended without a response from a backend server");
      caller.sendProblem(problem);
    }
  }

  private boolean end(RelayMetrics.End end) {
    if (finished) {
      return false;
    }
    finished = true;
    context.metrics().recordEnd(traits.serviceClass().id(), end, verdict);
    return true;
  }

  private void endLease(LeaseEnd end) {
    LeasedAttempt current = leasedAttempt;
    if (current != null) {
      current.end(end, progress.tokens());
    }
  }

  private @Nullable LeasedAttempt findCurrent(BackendAttempt attempt) {
    LeasedAttempt current = leasedAttempt;
    return finished || current == null || current.attempt() != attempt ? null : current;
  }
}
