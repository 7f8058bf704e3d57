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
 * A RelayedRequest takes one caller's request through slots, attempts and answer to its one end.
 *
 * <p>Its verdict only grows over its attempts: once one may have run, no later refusal says
 * otherwise. At most one attempt is open at a time, and events of earlier ones are ignored.
 */
final class RelayedRequest implements SlotListener, BackendAttempt.Listener, AnswerPump.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(RelayedRequest.class);
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_RESUMES_AFTER_FAULTS = 3;
  private static final int SERVER_ERRORS_FROM = 500;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final CallerExchange caller;
  private final RequestTraits traits;
  private final byte[] body;
  private final ShardId shard;
  private final RelayContext context;
  private final long revision;
  private final long startNanos;
  private final AnswerProgress answer;
  private final RetryBudget budget;

  private Verdict verdict = Verdict.NOT_RUN;
  private @Nullable LeaseUse use;
  private int attempts;
  private int resumesAfterFaults;
  private boolean resuming;
  private boolean preempted;
  private boolean relaying;
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
    this.answer = new AnswerProgress(traits.service());
    this.budget = context.budgets().of(traits.service().id());
  }

  void start() {
    budget.firstAttempt();
    acquire();
  }

  private void acquire() {
    long waited = (context.clock().nanos() - startNanos) / Clock.NANOS_PER_MILLI;
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
                waited,
                traits.repeatable(),
                revision),
            this);
  }

  @Override
  public synchronized void granted(Lease lease) {
    BackendAttempt attempt = new BackendAttempt(lease, context.clock(), this);
    LeaseUse next = new LeaseUse(lease, caller.id(), context.slots(), attempt, answer.tokens());
    if (finished) {
      next.end(LeaseEnd.RETURNED, answer.tokens());
      return;
    }
    use = next;
    relaying = false;
    ResumePoint point = resuming ? answer.resumePoint() : null;
    if (point != null) {
      send(attempt, context.pooled(), BackendRequest.resume(point));
      return;
    }
    attempts++;
    HttpClient client = traits.repeatable() ? context.pooled() : context.fresh();
    send(attempt, client, BackendRequest.of(caller, traits, body));
  }

  private void send(BackendAttempt attempt, HttpClient client, BackendRequest request) {
    attempt.send(client, request, context.limits().backendIdleMillis());
  }

  @Override
  public synchronized void refused(RefusalReason reason, long retryAfterMillis) {
    end(Problem.refused(reason, verdict, retryAfterMillis));
  }

  @Override
  public synchronized void preempted() {
    LeaseUse u = use;
    if (finished || preempted || !relaying || u == null || answer.resumePoint() == null) {
      return;
    }
    preempted = true;
    context.metrics().preempted();
    u.end(LeaseEnd.CANCELLED, answer.tokens());
    u.attempt().abort(new CancellationException("preempted"));
  }

  @Override
  public synchronized void answered(
      BackendAttempt attempt, Response response, Content.Source content) {
    LeaseUse u = current(attempt);
    if (u == null) {
      attempt.abort(new CancellationException("the request has ended"));
      return;
    }
    if (traits.service().notStartedStatuses().contains(response.getStatus())) {
      use = null;
      attempt.abort(new EOFException("not started"));
      u.end(LeaseEnd.NOT_STARTED, answer.tokens());
      notStarted();
    } else if (resuming) {
      resumed(u, response, content);
    } else {
      begun(u, response, content);
    }
  }

  private void notStarted() {
    if (resuming) {
      resumeOrCut(new EOFException("no engine continued the stream"));
    } else {
      retryOrEnd(Verdict.NOT_RUN, "The backend server did not start the request.");
    }
  }

  private void resumed(LeaseUse u, Response response, Content.Source content) {
    if (answer.resume(response, u.lease().server())) {
      relay(content);
      return;
    }
    abandon(u, new EOFException("the engine lost the stream"));
    resuming = false;
    answer.forget();
    brokenOff(new EOFException("the engine lost the stream"));
  }

  private void begun(LeaseUse u, Response response, Content.Source content) {
    verdict = Verdict.MAY_HAVE_RUN;
    answer.begin(response.getHeaders(), u.lease().server());
    if (!answer.canShowItsEnd(caller.request().getMethod(), response)) {
      abandon(u, new EOFException("no length"));
      end(problem("The backend server's answer has no marked end."));
      return;
    }
    int status = response.getStatus();
    verdict = status < SERVER_ERRORS_FROM ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
    caller.head(
        status,
        response.getHeaders(),
        traits.serviceClass().id().value(),
        u.lease().server().id().value(),
        verdict);
    relay(content);
  }

  private void relay(Content.Source content) {
    relaying = true;
    new AnswerPump(content, caller, this).pump();
  }

  /** Closes an attempt whose further events are of no interest. */
  private void abandon(LeaseUse u, Throwable cause) {
    use = null;
    relaying = false;
    u.attempt().abort(cause);
    u.end(LeaseEnd.FAILED, answer.tokens());
  }

  @Override
  public synchronized void failed(BackendAttempt attempt, Throwable cause) {
    LeaseUse u = current(attempt);
    if (u == null || relaying) {
      return;
    }
    use = null;
    if (attempt.isLeaseVoid()) {
      u.end(LeaseEnd.RETURNED, answer.tokens());
      leaseVoid();
      return;
    }
    Verdict v = attempt.verdict();
    u.end(v == Verdict.NOT_RUN ? LeaseEnd.NOT_STARTED : LeaseEnd.FAILED, answer.tokens());
    if (resuming) {
      resumeOrCut(cause);
    } else {
      retryOrEnd(v, "The backend server could not be reached or broke off.");
    }
  }

  /** Queues again without spending a retry: no backend server saw anything of this attempt. */
  private void leaseVoid() {
    if (resuming) {
      resumeOrCut(new BackendAttempt.LeaseVoidException());
    } else if (attempts < MAX_ATTEMPTS) {
      acquire();
    } else {
      end(problem("No lease could be used in time."));
    }
  }

  private void retryOrEnd(Verdict ofAttempt, String detail) {
    if (ofAttempt != Verdict.NOT_RUN) {
      verdict = Verdict.MAY_HAVE_RUN;
    }
    boolean mayRepeat = ofAttempt == Verdict.NOT_RUN || traits.repeatable();
    if (mayRepeat && attempts < MAX_ATTEMPTS && budget.tryRetry()) {
      context.metrics().retried();
      acquire();
      return;
    }
    end(problem(detail));
  }

  private Problem problem(String detail) {
    return new Problem(502, "backend-failed", detail, verdict, RETRY_AFTER_MILLIS);
  }

  @Override
  public synchronized void chunk(ByteBuffer content) {
    LeaseUse u = use;
    if (u != null && u.noteByte() && answer.forwardedBytes() == 0) {
      long nanos = context.clock().nanos() - startNanos;
      context.metrics().firstByte(traits.serviceClass().id(), nanos);
    }
    answer.forwarded(content);
  }

  @Override
  public synchronized void complete() {
    if (!answer.isWhole()) {
      upstreamFailed(new EOFException("the stream ended without its terminator"));
      return;
    }
    endUse(LeaseEnd.FINISHED);
    if (end(RelayMetrics.End.ANSWERED)) {
      caller.response().write(true, null, caller.callback());
    }
  }

  @Override
  public synchronized void upstreamFailed(Throwable cause) {
    endUse(LeaseEnd.FAILED);
    use = null;
    relaying = false;
    if (!finished) {
      brokenOff(cause);
    }
  }

  private void brokenOff(Throwable cause) {
    if (preempted) {
      preempted = false;
      resuming = true;
      context.metrics().resumed();
      acquire();
    } else if (answer.resumePoint() != null) {
      resumeOrCut(cause);
    } else if (answer.forwardedBytes() == 0) {
      context.metrics().wasted(answer.tokens());
      answer.forget();
      retryOrEnd(Verdict.MAY_HAVE_RUN, "The backend server's answer broke off.");
    } else {
      cut(cause);
    }
  }

  private void resumeOrCut(Throwable cause) {
    if (resumesAfterFaults >= MAX_RESUMES_AFTER_FAULTS) {
      cut(cause);
      return;
    }
    resumesAfterFaults++;
    resuming = true;
    context.metrics().resumed();
    acquire();
  }

  /** Ends the answer so that the caller sees that it is not whole. */
  private void cut(Throwable cause) {
    if (!caller.response().isCommitted()) {
      end(problem("The backend server's answer broke off."));
      return;
    }
    if (end(RelayMetrics.End.CUT)) {
      log("answer.cut", cause);
      caller.callback().failed(cause);
    }
  }

  @Override
  public synchronized void callerFailed(Throwable cause) {
    LeaseUse u = use;
    if (end(RelayMetrics.End.CALLER_LEFT)) {
      log("caller.gone", cause);
      if (u != null) {
        u.attempt().abort(cause);
      }
      giveUpStream();
      caller.callback().failed(cause);
    }
    endUse(LeaseEnd.CANCELLED);
  }

  private void giveUpStream() {
    ResumePoint point = answer.resumePoint();
    if (point != null) {
      StreamCancel.send(context.pooled(), point);
    }
  }

  private void log(String event, Throwable cause) {
    context.metrics().wasted(answer.tokens());
    LOG.atWarn()
        .addKeyValue("event", event)
        .addKeyValue("request", caller.id())
        .addKeyValue("forwarded_bytes", answer.forwardedBytes())
        .addKeyValue("reason", String.valueOf(cause.getMessage()))
        .log("answer not delivered whole");
  }

  /** Answers with a problem; if bytes were sent already, breaks the answer off in its place. */
  private void end(Problem problem) {
    if (caller.response().isCommitted()) {
      cut(new EOFException(problem.reason()));
      return;
    }
    if (end(RelayMetrics.End.REFUSED)) {
      LOG.atInfo()
          .addKeyValue("event", "request.refused")
          .addKeyValue("request", caller.id())
          .addKeyValue("reason", problem.reason())
          .addKeyValue("verdict", problem.verdict().wireName())
          .log("request not answered");
      caller.problem(problem);
    }
  }

  private boolean end(RelayMetrics.End end) {
    if (finished) {
      return false;
    }
    finished = true;
    context.metrics().ended(traits.serviceClass().id(), end, verdict);
    return true;
  }

  private void endUse(LeaseEnd end) {
    LeaseUse u = use;
    if (u != null) {
      u.end(end, answer.tokens());
    }
  }

  private @Nullable LeaseUse current(BackendAttempt attempt) {
    LeaseUse u = use;
    return finished || u == null || u.attempt() != attempt ? null : u;
  }
}
