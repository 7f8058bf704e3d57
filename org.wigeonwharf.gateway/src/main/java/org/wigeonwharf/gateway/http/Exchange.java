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
import org.wigeonwharf.gateway.route.Account;
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
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
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
  private @Nullable RouteTable table;
  private @Nullable Route route;
  private @Nullable Account account;
  private @Nullable Demand demand;
  private @Nullable SentRequest sent;
  private Timers.@Nullable Timer deadlineTimer;
  private Timers.@Nullable Timer holdTimer;
  private Timers.@Nullable Timer silenceTimer;
  private @Nullable WholeAnswer fallback;
  private String service = "";
  private long deadlineAt;
  private int urgency;
  private int sends;
  private int runs;
  private Verdict verdict = Verdict.NOT_RUN;
  private boolean begun;
  private boolean ended;
  private long firstMillis = -1;
  private long passedAt;
  private long progressAt;
  private boolean callerPaused;
  private boolean repeatPaidFor;
  private long longestGapNanos;
  private int events;
  private @Nullable String lastEvent;
  private String lastReason = "";

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
    return urgency;
  }

  long arrivedAt() {
    return request.arrivedAt();
  }

  String service() {
    return service;
  }

  @Nullable String id() {
    return facts.id();
  }

  /** Finds the route and the account, then sends the request. */
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
    table = t;
    cancelHold();
    Route r = t.find(request.host(), request.target());
    if (r == null) {
      finish(RequestOutcome.DENIED, NOT_FOUND, "no route", 0);
      return;
    }
    route = r;
    account = facts.key() == null ? null : t.account(facts.key());
    if (account == null && !r.open() && t.needsKeys()) {
      finish(RequestOutcome.DENIED, UNAUTHORIZED, "unknown key", 0);
      return;
    }
    accept(r);
    dispatch();
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

  private void accept(Route r) {
    Account a = account;
    urgency = a == null ? r.urgency() : a.urgency().orElse(r.urgency());
    service = r.pickService(shared.splitPoint());
    demand =
        new Demand(
            service,
            urgency,
            facts.parts(),
            facts.promptTokens(),
            facts.outputTokens(),
            r.objectiveMillis(),
            r.gapObjectiveMillis());
    long wait = r.timeoutMillis();
    if (facts.waitMillis() >= 0) {
      wait = Math.min(wait, facts.waitMillis());
    }
    deadlineAt = request.arrivedAt() + wait * Clock.NANOS_PER_MILLI;
    deadlineTimer = timers.after(deadlineAt - timers.nanos(), this::expire);
    shared.budget().request(service, timers.nanos());
  }

  /** Sends the request to the cheapest server, or holds it if no server may get it now. */
  void dispatch() {
    if (!ended && table == null) {
      start();
      return;
    }
    Demand d = demand;
    RouteTable t = table;
    if (ended || sent != null || d == null || t == null) {
      return;
    }
    long now = timers.nanos();
    if (leftMillis(now) < shared.settings().minSendMillis()) {
      giveUp("no time left");
      return;
    }
    List<BackendServer> servers = shared.directory().usable(service);
    Choice choice =
        shared.chooser().choose(d, t.service(service), servers, tried, isPatient(d, now), now);
    if (choice == null) {
      hold(servers.size());
      return;
    }
    if (sends > 0 && !repeatPaidFor && !shared.budget().tryTake(service, now)) {
      shared.log().budgetSpent(id(), service);
      giveUp("the retry budget is spent; last: " + lastReason);
      return;
    }
    send(d, choice, now);
  }

  private boolean isPatient(Demand d, long now) {
    ExchangeSettings s = shared.settings();
    double most = Math.min(s.patiencePart() * d.objectiveMillis(), s.maxHoldMillis() / 2.0);
    return now - arrivedAt() < most * Clock.NANOS_PER_MILLI;
  }

  private void send(Demand d, Choice choice, long now) {
    cancelHold();
    repeatPaidFor = false;
    sends++;
    BackendServer server = choice.candidate().server();
    tried.add(server.id());
    SentRequest s = new SentRequest(this, shared, server, d, choice, now);
    sent = s;
    shared.log().placed(id(), choice, d, sends, leftMillis(now));
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    Account a = account;
    BackendServer source = choice.memorySource();
    shared
        .protocol()
        .writeForwarding(
            headers,
            new Forwarding(
                server.id(),
                a == null ? null : a.name(),
                leftMillis(now),
                urgency,
                lastEvent,
                source == null ? null : source.address()));
    if (request.body().length > 0 || hasBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    s.open(
        new OutboundRequest(request.method(), request.target(), headers, request.body()),
        isStream());
    progressAt = now;
    watchSilence();
  }

  /** Gives a server up that stays silent, if another one may do the work instead. */
  private void watchSilence() {
    cancelSilenceTimer();
    Route r = route;
    if (r == null || !mayRepeat() || runs + 1 >= r.maxAttempts()) {
      return;
    }
    long idle = timers.nanos() - progressAt;
    silenceTimer = timers.after(silenceLimitNanos(r) - idle, () -> checkSilence(r));
  }

  private long silenceLimitNanos(Route r) {
    ExchangeSettings s = shared.settings();
    long millis = begun ? r.gapObjectiveMillis() : r.objectiveMillis();
    double factor = begun ? s.silenceGaps() : s.silenceObjectives();
    return (long) Math.max(s.minSilenceMillis(), factor * millis) * Clock.NANOS_PER_MILLI;
  }

  private void checkSilence(Route r) {
    silenceTimer = null;
    SentRequest s = sent;
    long now = timers.nanos();
    if (s == null) {
      return;
    }
    boolean silent = now - progressAt >= silenceLimitNanos(r) && !callerPaused;
    boolean another = shared.directory().usable(service).size() > tried.size();
    if (silent && another && shared.budget().tryTake(service, now)) {
      repeatPaidFor = true;
      s.giveUp();
      return;
    }
    if (now - progressAt >= silenceLimitNanos(r)) {
      progressAt = now;
    }
    watchSilence();
  }

  private void cancelSilenceTimer() {
    if (silenceTimer != null) {
      silenceTimer.cancel();
      silenceTimer = null;
    }
  }

  private boolean hasBody() {
    String m = request.method().name();
    return m.equals("POST") || m.equals("PUT") || m.equals("PATCH");
  }

  private boolean isStream() {
    Route r = route;
    return r != null && r.kind().isStream();
  }

  private boolean mayRepeat() {
    Route r = route;
    return r != null && r.kind().isRepeatable();
  }

  private void hold(int servers) {
    if (holdTimer == null) {
      ExchangeSettings s = shared.settings();
      long now = timers.nanos();
      long most = Math.min(s.maxHoldMillis(), (long) (s.holdPart() * leftMillis(now)));
      shared.log().held(id(), service, servers, shared.held().size());
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

  private long leftMillis(long now) {
    return (deadlineAt - now) / Clock.NANOS_PER_MILLI;
  }

  // Outcomes of a send.

  /** The request did not run there: another server may get it. */
  void notRun(String reason) {
    sent = null;
    lastReason = reason;
    shared.log().retried(id(), lastServer(), reason, false);
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
    Route r = route;
    if (r == null) {
      return;
    }
    boolean canContinue = !begun || (r.kind() == RequestKind.RESUMABLE_STREAM);
    long now = timers.nanos();
    if (mayRepeat()
        && canContinue
        && runs < r.maxAttempts()
        && leftMillis(now) >= shared.settings().minSendMillis()) {
      shared.log().retried(id(), lastServer(), reason, true);
      dispatch();
      return;
    }
    giveUp(reason);
  }

  private String lastServer() {
    return String.join(",", tried);
  }

  /** A whole answer has come that was kept back until now. */
  void answered(WholeAnswer answer) {
    sent = null;
    verdict = Verdict.RAN;
    runs++;
    if (answer.status() >= SERVER_ERRORS && mayRepeat()) {
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
    progressAt = now;
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
    Route r = route;
    boolean byRoute =
        r != null && deadlineAt - arrivedAt() >= r.timeoutMillis() * Clock.NANOS_PER_MILLI;
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
    ended = true;
    cancelHold();
    cancelSilenceTimer();
    shared.held().remove(this);
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
      deadlineTimer = null;
    }
    RouteTable t = table;
    Route r = route;
    shared
        .log()
        .ended(
            id(),
            r == null ? "" : r.name(),
            outcome,
            status,
            reason,
            sends,
            elapsedMillis(),
            firstMillis,
            longestGapNanos / Clock.NANOS_PER_MILLI,
            events,
            t == null ? 0 : t.version());
    shared.ended();
  }

  private long elapsedMillis() {
    return (timers.nanos() - arrivedAt()) / Clock.NANOS_PER_MILLI;
  }
}
