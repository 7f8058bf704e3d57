package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Verdict;

/**
 * An Exchange is the life of one request, from its arrival to the end of its answer.
 *
 * <p>It decides what may be sent again: a request that provably did not run always, one that may
 * have run only if its route allows that, and either only while time, attempts and the retry budget
 * last.
 */
public final class Exchange {
  private static final int OK = 200;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int SERVER_ERRORS = 500;

  private final Exchanges shared;
  private final long number;
  private final CallerRequest request;
  private final CallerChannel caller;
  private final RequestFacts facts;
  private final Set<String> tried = new HashSet<>();
  private final Timers timers;
  private @Nullable Admission admission;
  private @Nullable SilenceWatch silence;
  private @Nullable SentRequest sent;
  private Timers.@Nullable Timer deadlineTimer;
  private Timers.@Nullable Timer holdTimer;
  private @Nullable WholeAnswer fallback;
  private int sends;
  private int runs;
  private Verdict verdict = Verdict.NOT_RUN;
  private boolean begun;
  private boolean ended;
  private long firstMillis = -1;
  private long passedAt;
  private boolean callerPaused;
  private boolean repeatPaidFor;
  private long longestGapNanos;
  private int events;
  private @Nullable String lastEvent;
  private String lastReason = "";
  private String lastServer = "";

  /**
   * A WholeAnswer is a complete answer of a backend server.
   *
   * @param status its status
   * @param headers its headers
   * @param body its body
   */
  record WholeAnswer(int status, HttpHeaders headers, byte[] body) {}

  Exchange(Exchanges shared, long number, CallerRequest request, CallerChannel caller) {
    this.shared = shared;
    this.number = number;
    this.request = request;
    this.caller = caller;
    this.timers = shared.timers();
    this.facts = shared.protocol().readRequest(request.headers());
  }

  long number() {
    return number;
  }

  int urgency() {
    Admission a = admission;
    return a == null ? 0 : a.demand().priority();
  }

  long arrivedAt() {
    return request.arrivedAt();
  }

  @Nullable String id() {
    return facts.id();
  }

  /** Lets the request in, then sends it. */
  void start() {
    if (shared.isClosed()) {
      refuse("the router stops");
      return;
    }
    RouteTable t = shared.routes();
    if (t == null) {
      awaitRoutes();
      return;
    }
    cancelHold();
    Admission.of(t, request, facts, shared::splitPoint).peek(this::accept).peekLeft(this::deny);
  }

  private void deny(Admission.Denial d) {
    caller.answer(d.status(), Refusals.headers(0), Refusals.body(d.reason()));
    close(RequestOutcome.DENIED, d.route(), d.status(), d.reason());
  }

  /** Waits for the first configuration: a router that has just started reads it within moments. */
  private void awaitRoutes() {
    if (holdTimer == null) {
      long most = shared.settings().maxAwaitRoutesMillis() * Clock.NANOS_PER_MILLI;
      holdTimer =
          timers.after(
              most,
              () -> {
                holdTimer = null;
                refuse("no configuration is known yet");
              });
    }
    shared.held().add(this);
  }

  private void accept(Admission a) {
    admission = a;
    if (a.mayRepeat()) {
      silence = new SilenceWatch(timers, shared.settings(), a.route(), this::giveUpSilent);
    }
    long now = timers.nanos();
    deadlineTimer = timers.after(a.deadlineAt() - now, this::expire);
    shared.budget().recordRequest(a.service(), now);
    dispatch();
  }

  /** Sends the request to the cheapest server, or holds it if no server may get it now. */
  void dispatch() {
    Admission a = admission;
    if (ended || sent != null) {
      return;
    }
    if (a == null) {
      start();
      return;
    }
    long now = timers.nanos();
    if (a.leftMillis(now) < shared.settings().minSendMillis()) {
      giveUp("no time left");
      return;
    }
    List<BackendServer> servers = shared.directory().usable(a.service());
    Choice choice =
        shared
            .chooser()
            .choose(
                a.demand(),
                a.table().service(a.service()),
                servers,
                tried,
                isPatient(a.demand(), now),
                now);
    if (choice == null) {
      hold(a, servers.size());
      return;
    }
    if (sends > 0 && !repeatPaidFor && !shared.budget().tryAcquire(a.service(), now)) {
      shared.log().budgetSpent(id(), a.service());
      giveUp("the retry budget is spent; last: " + lastReason);
      return;
    }
    send(a, choice, now);
  }

  private boolean isPatient(Demand d, long now) {
    ExchangeSettings s = shared.settings();
    double most = Math.min(s.patiencePart() * d.objectiveMillis(), s.maxHoldMillis() / 2.0);
    return now - arrivedAt() < most * Clock.NANOS_PER_MILLI;
  }

  private void send(Admission a, Choice choice, long now) {
    cancelHold();
    repeatPaidFor = false;
    sends++;
    BackendServer server = choice.candidate().server();
    tried.add(server.id());
    lastServer = server.id();
    SentRequest s = new SentRequest(this, shared, server, a.demand(), choice, now);
    sent = s;
    shared.log().placed(id(), choice, a.demand(), sends, elapsedMillis(), a.leftMillis(now));
    s.open(outbound(a, choice, now), a.route().kind().isStream());
    watchSilence(a.route());
  }

  private void watchSilence(Route r) {
    if (silence == null) {
      return;
    }
    silence.stop();
    if (runs + 1 < r.maxAttempts()) {
      silence.begin(begun);
    }
  }

  private OutboundRequest outbound(Admission a, Choice choice, long now) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    BackendServer source = choice.cacheSource();
    shared
        .protocol()
        .writeForwarding(
            headers,
            new Forwarding(
                choice.candidate().server().id(),
                a.accountName(),
                a.leftMillis(now),
                a.demand().priority(),
                lastEvent,
                source == null ? null : source.address()));
    if (request.body().length > 0 || hasBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return new OutboundRequest(request.method(), request.target(), headers, request.body());
  }

  /** Gives a silent server up, if another one may do the work instead. */
  private boolean giveUpSilent() {
    SentRequest s = sent;
    Admission a = admission;
    if (s == null || a == null || callerPaused) {
      return false;
    }
    boolean another = shared.directory().usable(a.service()).size() > tried.size();
    if (!another || !shared.budget().tryAcquire(a.service(), timers.nanos())) {
      return false;
    }
    repeatPaidFor = true;
    s.giveUp();
    return true;
  }

  private boolean hasBody() {
    String m = request.method().name();
    return m.equals("POST") || m.equals("PUT") || m.equals("PATCH");
  }

  private void hold(Admission a, int servers) {
    if (holdTimer == null) {
      ExchangeSettings s = shared.settings();
      long left = a.leftMillis(timers.nanos());
      long most = Math.min(s.maxHoldMillis(), (long) (s.holdPart() * left));
      shared.log().held(id(), a.service(), servers, shared.held().size());
      holdTimer = timers.after(most * Clock.NANOS_PER_MILLI, () -> expireHold(servers));
    }
    if (!tried.isEmpty()) {
      tried.clear();
    }
    shared.held().add(this);
  }

  private void cancelHold() {
    if (holdTimer != null) {
      holdTimer.cancel();
      holdTimer = null;
    }
  }

  private void expireHold(int servers) {
    holdTimer = null;
    shared.held().remove(this);
    if (sent == null) {
      giveUp(servers == 0 ? "no server of the service is known" : "all servers are full");
    }
  }

  // Outcomes of a send.

  /** The request did not run there: another server may get it. */
  void notRun(String reason) {
    sent = null;
    lastReason = reason;
    shared.log().retried(id(), lastServer, reason, false);
    dispatch();
  }

  /** The request may have run there, without a whole answer. */
  void failed(String reason) {
    sent = null;
    lastReason = reason;
    verdict = Verdict.MAY_HAVE_RUN;
    runs++;
    retryOrEnd(reason);
  }

  private void retryOrEnd(String reason) {
    Admission a = admission;
    if (a == null) {
      return;
    }
    Route r = a.route();
    boolean canContinue = !begun || r.kind() == RequestKind.RESUMABLE_STREAM;
    boolean timeLeft = a.leftMillis(timers.nanos()) >= shared.settings().minSendMillis();
    if (a.mayRepeat() && canContinue && runs < r.maxAttempts() && timeLeft) {
      shared.log().retried(id(), lastServer, reason, true);
      dispatch();
      return;
    }
    giveUp(reason);
  }

  /** A whole answer has come that was kept back until now. */
  void answered(WholeAnswer answer) {
    sent = null;
    verdict = Verdict.RAN;
    runs++;
    Admission a = admission;
    if (answer.status() >= SERVER_ERRORS && a != null && a.mayRepeat()) {
      fallback = answer;
      lastReason = "server answered " + answer.status();
      retryOrEnd(lastReason);
      return;
    }
    deliver(answer);
  }

  private void deliver(WholeAnswer answer) {
    caller.answer(answer.status(), answer.headers(), answer.body());
    close(RequestOutcome.ANSWERED, answer.status(), "");
  }

  /** The first bytes of a streamed answer have come. */
  void begin(int status, HttpHeaders headers) {
    verdict = Verdict.RAN;
    if (!begun) {
      begun = true;
      firstMillis = elapsedMillis();
      caller.begin(status, headers);
    }
  }

  /** More bytes of a streamed answer have come. */
  void pass(byte[] bytes, @Nullable String event) {
    if (event != null) {
      lastEvent = event;
    }
    events++;
    long now = timers.nanos();
    if (silence != null) {
      silence.heard();
    }
    if (passedAt != 0) {
      longestGapNanos = Math.max(longestGapNanos, now - passedAt);
    }
    passedAt = now;
    caller.send(bytes);
  }

  /** The streamed answer is complete. */
  void completed() {
    sent = null;
    caller.end();
    close(RequestOutcome.ANSWERED, OK, "");
  }

  @Nullable String lastEvent() {
    return lastEvent;
  }

  boolean hasBegun() {
    return begun;
  }

  // Ends.

  /** Ends the request because its caller has left. */
  public void callerGone() {
    if (ended) {
      return;
    }
    cancelSent();
    close(RequestOutcome.CALLER_GONE, 0, "the caller closed its connection");
  }

  /**
   * Tells whether the caller keeps up with its answer.
   *
   * @param writable false while the caller's connection takes no more
   */
  public void callerWritable(boolean writable) {
    callerPaused = !writable;
    if (sent != null) {
      sent.pause(!writable);
    }
  }

  /** Ends the request because the process stops. */
  public void stopping() {
    if (!ended) {
      giveUp("the router stops");
    }
  }

  private void expire() {
    deadlineTimer = null;
    if (ended) {
      return;
    }
    if (sent != null) {
      cancelSent();
      verdict = Verdict.MAY_HAVE_RUN;
    }
    Admission a = admission;
    boolean byRoute = a != null && a.isBoundByRoute(arrivedAt());
    endUnserved(byRoute ? "the route's timeout is over" : "the caller's deadline is over", true);
  }

  private void cancelSent() {
    SentRequest s = sent;
    sent = null;
    if (s != null) {
      s.cancel();
    }
  }

  private void giveUp(String reason) {
    if (sent != null) {
      cancelSent();
      verdict = Verdict.MAY_HAVE_RUN;
    }
    WholeAnswer f = fallback;
    if (f != null && !begun) {
      deliver(f);
      return;
    }
    endUnserved(reason, false);
  }

  private void endUnserved(String reason, boolean late) {
    if (begun) {
      cut(reason);
    } else if (verdict == Verdict.NOT_RUN) {
      refuse(reason);
    } else {
      finish(RequestOutcome.FAILED, late ? GATEWAY_TIMEOUT : BAD_GATEWAY, reason, 0);
    }
  }

  private void cut(String reason) {
    caller.abort();
    close(RequestOutcome.CUT, 0, reason);
  }

  private void refuse(String reason) {
    finish(RequestOutcome.REFUSED, UNAVAILABLE, reason, shared.settings().retryAfterMillis());
  }

  private void finish(RequestOutcome outcome, int status, String reason, long retryAfterMillis) {
    caller.answer(status, Refusals.headers(retryAfterMillis), Refusals.body(reason));
    close(outcome, status, reason);
  }

  private void close(RequestOutcome outcome, int status, String reason) {
    Admission a = admission;
    close(outcome, a == null ? "" : a.route().name(), status, reason);
  }

  private void close(RequestOutcome outcome, String route, int status, String reason) {
    ended = true;
    cancelHold();
    if (silence != null) {
      silence.stop();
    }
    shared.held().remove(this);
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
      deadlineTimer = null;
    }
    shared
        .log()
        .ended(
            id(),
            route,
            outcome,
            status,
            reason,
            sends,
            elapsedMillis(),
            firstMillis,
            longestGapNanos / Clock.NANOS_PER_MILLI,
            events,
            version());
    shared.ended();
  }

  /** Returns the version of the configuration that decided, or 0 if none did. */
  private long version() {
    Admission a = admission;
    RouteTable t = a == null ? shared.routes() : a.table();
    return t == null ? 0 : t.version();
  }

  private long elapsedMillis() {
    return (timers.nanos() - arrivedAt()) / Clock.NANOS_PER_MILLI;
  }
}
