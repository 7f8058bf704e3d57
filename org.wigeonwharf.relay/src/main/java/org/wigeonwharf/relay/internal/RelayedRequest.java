package org.wigeonwharf.relay.internal;

import java.io.EOFException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;
import org.wigeonwharf.relay.RelayHeaders;
import org.wigeonwharf.relay.RequestTraits;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.SlotSource;

/** A RelayedRequest takes one caller's request through slot, attempt and answer to its one end. */
final class RelayedRequest implements SlotListener, BackendAttempt.Listener, AnswerPump.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(RelayedRequest.class);
  private static final int MAX_ATTEMPTS = 3;
  private static final long BACKEND_IDLE_MILLIS = 60_000;
  private static final String EVENT_STREAM = "text/event-stream";

  private final CallerExchange caller;
  private final RequestTraits traits;
  private final byte[] body;
  private final ShardId shard;
  private final SlotSource slots;
  private final HttpClient client;
  private final Clock clock;
  private final long revision;
  private final Runnable whenDone;
  private final long startNanos;

  private int attempts;
  private @Nullable Lease lease;
  private @Nullable BackendAttempt attempt;
  private @Nullable AnswerWatch events;
  private long firstByteMillis = -1;
  private boolean answered;
  private boolean finished;

  RelayedRequest(
      CallerExchange caller,
      RequestTraits traits,
      byte[] body,
      ShardId shard,
      SlotSource slots,
      HttpClient client,
      Clock clock,
      long revision,
      Runnable whenDone) {
    this.caller = caller;
    this.traits = traits;
    this.body = body;
    this.shard = shard;
    this.slots = slots;
    this.client = client;
    this.clock = clock;
    this.revision = revision;
    this.whenDone = whenDone;
    this.startNanos = clock.nanos();
  }

  void start() {
    long waited = (clock.nanos() - startNanos) / Clock.NANOS_PER_MILLI;
    slots.acquire(
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
  public synchronized void granted(Lease granted) {
    lease = granted;
    attempts++;
    BackendAttempt a = new BackendAttempt(client, granted, clock, this);
    attempt = a;
    a.send(
        caller.request().getMethod(),
        traits.backendPath(),
        forwardedHeaders(),
        body,
        BACKEND_IDLE_MILLIS);
  }

  private HttpFields forwardedHeaders() {
    HttpFields.Mutable headers = HttpFields.build();
    for (HttpField f : caller.request().getHeaders()) {
      if (!HopByHop.contains(f) && f.getHeader() != HttpHeader.AUTHORIZATION) {
        headers.add(f);
      }
    }
    headers.put(RelayHeaders.REQUEST_ID, caller.id().toString());
    headers.put(RelayHeaders.SERVICE_CLASS, traits.serviceClass().id().value());
    headers.put("Priority", "u=" + Math.min(7, traits.serviceClass().tier().rank()));
    return headers;
  }

  @Override
  public synchronized void refused(RefusalReason reason, long retryAfterMillis) {
    finish(Problem.refused(reason, Verdict.NOT_RUN, retryAfterMillis));
  }

  @Override
  public void preempted() {
    LOG.atDebug().addKeyValue("event", "request.preempted").log("preemption is not supported yet");
  }

  @Override
  public synchronized void answered(Response response, Content.Source content) {
    if (traits.service().notStartedStatuses().contains(response.getStatus())) {
      content.fail(new EOFException("not started"));
      endLease(LeaseEnd.NOT_STARTED);
      retryOrFinish(Verdict.NOT_RUN, "The backend server did not start the request.");
      return;
    }
    answered = true;
    String type = response.getHeaders().get(HttpHeader.CONTENT_TYPE);
    events = type != null && type.startsWith(EVENT_STREAM) ? new AnswerWatch() : null;
    caller.head(
        response.getStatus(),
        response.getHeaders(),
        traits.serviceClass().id().value(),
        currentLease().server().id().value());
    new AnswerPump(content, caller.response(), this).pump();
  }

  @Override
  public synchronized void failed(Throwable cause) {
    if (answered || finished || lease == null) {
      return;
    }
    Verdict v = currentAttempt().verdict();
    endLease(v == Verdict.NOT_RUN ? LeaseEnd.NOT_STARTED : LeaseEnd.FAILED);
    retryOrFinish(v, "The backend server could not be reached or broke off.");
  }

  private void retryOrFinish(Verdict v, String detail) {
    boolean mayRepeat = v == Verdict.NOT_RUN || traits.repeatable();
    if (mayRepeat && attempts < MAX_ATTEMPTS) {
      start();
      return;
    }
    finish(new Problem(502, "backend-failed", detail, v, 0));
  }

  @Override
  public synchronized void chunk(ByteBuffer content) {
    if (firstByteMillis < 0) {
      firstByteMillis = currentAttempt().millisSinceWrite();
    }
    if (events != null) {
      events.feed(content);
    }
  }

  @Override
  public synchronized void complete() {
    if (events != null && !events.isDone()) {
      upstreamFailed(new EOFException("the stream ended without its terminator"));
      return;
    }
    endLease(LeaseEnd.FINISHED);
    if (end()) {
      caller.response().write(true, null, caller.callback());
    }
  }

  @Override
  public synchronized void upstreamFailed(Throwable cause) {
    endLease(LeaseEnd.FAILED);
    logCut("answer.cut", cause);
    if (end()) {
      caller.callback().failed(cause);
    }
  }

  @Override
  public synchronized void callerFailed(Throwable cause) {
    currentAttempt().abort(cause);
    endLease(LeaseEnd.CANCELLED);
    logCut("caller.gone", cause);
    if (end()) {
      caller.callback().failed(cause);
    }
  }

  private void logCut(String event, Throwable cause) {
    LOG.atWarn()
        .addKeyValue("event", event)
        .addKeyValue("request", caller.id())
        .addKeyValue("server", currentLease().server().id())
        .addKeyValue("reason", String.valueOf(cause.getMessage()))
        .log("answer not delivered whole");
  }

  private void finish(Problem problem) {
    if (end()) {
      LOG.atInfo()
          .addKeyValue("event", "request.refused")
          .addKeyValue("request", caller.id())
          .addKeyValue("reason", problem.reason())
          .addKeyValue("verdict", problem.verdict().wireName())
          .log("request not answered");
      caller.problem(problem);
    }
  }

  private boolean end() {
    if (finished) {
      return false;
    }
    finished = true;
    whenDone.run();
    return true;
  }

  private void endLease(LeaseEnd end) {
    Lease l = currentLease();
    int tokens = events == null ? 0 : events.events();
    slots.end(
        new Outcome(
            caller.id(),
            l.request().shard(),
            l.number(),
            l.server().id(),
            end,
            firstByteMillis,
            tokens,
            currentAttempt().millisSinceWrite()));
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
