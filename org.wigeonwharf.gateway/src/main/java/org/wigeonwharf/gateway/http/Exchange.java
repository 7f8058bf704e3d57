package org.wigeonwharf.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.overload.OverloadDecision;
import org.wigeonwharf.gateway.overload.QueuedRequest;
import org.wigeonwharf.gateway.placement.Candidate;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.ServiceLoad;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.stream.Resolution;
import org.wigeonwharf.gateway.stream.StreamResumption;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.Verdict;

/**
 * Handles one request from its arrival to the end of its response.
 *
 * <p>A request that provably did not run may always be retried. One that may have run is retried
 * only if its route allows that, up to the route's maximum number of attempts. All retries are
 * limited by the deadline and the retry budget.
 */
public final class Exchange {
  private static final int OK = 200;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int MIN_SERVER_ERROR = 500;

  /** Time in ms after which a caller may ask another router for the rest of its stream. */
  private static final long UNKNOWN_ORIGIN_RETRY_MILLIS = 50;

  private final ExchangeManager manager;
  private final long number;
  private final CallerRequest request;
  private final CallerChannel caller;
  private final RequestMetadata metadata;
  private final Set<String> triedServerIds = new HashSet<>();
  private final Timers timers;
  private @Nullable Admission admission;
  private @Nullable StallDetector stallDetector;
  private @Nullable AttemptHandler currentAttempt;
  private Timers.@Nullable Timer deadlineTimer;
  private Timers.@Nullable Timer holdTimer;
  private long holdEndsAt;
  private boolean noRoom;
  private boolean roomExpected;
  private @Nullable FullResponse fallbackResponse;
  private int sends;
  private int possibleRuns;
  private Verdict verdict = Verdict.NOT_RUN;
  private boolean placed;
  private boolean responseBegun;
  private boolean streamBegun;
  private boolean ended;
  private long firstByteMillis = -1;
  private long lastForwardedAt;
  private boolean callerBlocked;
  private boolean retryAcquired;
  private boolean originResolved;
  private boolean originWaitOver;
  private long longestGapNanos;
  private int events;
  private @Nullable String lastEventId;
  private String lastFailureReason = "";
  private String lastServerId = "";
  private String lastSoftwareVersion = "";

  /**
   * Holds a complete response of a backend server.
   *
   * @param status its status
   * @param headers its headers
   * @param body its body
   */
  record FullResponse(int status, HttpHeaders headers, byte[] body) {}

  Exchange(ExchangeManager manager, long number, CallerRequest request, CallerChannel caller) {
    this.manager = manager;
    this.number = number;
    this.request = request;
    this.caller = caller;
    this.timers = manager.timers();
    this.metadata = manager.protocol().readRequest(request.headers());
  }

  long number() {
    return number;
  }

  int priority() {
    Admission a = admission;
    return a == null ? 0 : a.demand().priority();
  }

  long arrivedAt() {
    return request.arrivedAt();
  }

  @Nullable String requestId() {
    return metadata.id();
  }

  /** Returns the properties that decide the request's placement, or null before its admission. */
  @Nullable Demand demand() {
    Admission a = admission;
    return a == null ? null : a.demand();
  }

  /** Tells whether the request is held because no server had room when it was last tried. */
  boolean hasNoRoom() {
    return noRoom;
  }

  /** Describes what the request needs of a server; returns null before its admission. */
  @Nullable QueuedRequest describe() {
    Admission a = admission;
    return a == null ? null : new RequestNeeds(manager).describe(a, arrivedAt(), number, sends > 0);
  }

  /** Admits the request and sends it, or holds it until the first configuration is known. */
  void start() {
    if (manager.isClosed()) {
      refuse("the router stops");
      return;
    }
    RouteTable t = manager.routes();
    if (t == null) {
      awaitConfiguration();
      return;
    }
    cancelHold();
    Admission.of(t, request, metadata, manager::nextSplitPoint)
        .peek(this::accept)
        .peekLeft(this::deny);
  }

  private void deny(Admission.Denial d) {
    caller.sendResponse(d.status(), ErrorResponses.headers(0), ErrorResponses.body(d.reason()));
    close(RequestOutcome.DENIED, d.route(), d.status(), d.reason());
  }

  /** Waits for the first configuration, which a router usually reads shortly after its start. */
  private void awaitConfiguration() {
    if (holdTimer == null) {
      long maxNanos = manager.settings().maxConfigurationWaitMillis() * Clock.NANOS_PER_MILLI;
      holdTimer =
          timers.schedule(
              maxNanos,
              () -> {
                holdTimer = null;
                refuse("no configuration is known yet");
              });
    }
    manager.hold(this);
  }

  private void accept(Admission a) {
    admission = a;
    if (a.isRepeatable()) {
      stallDetector =
          new StallDetector(timers, manager.settings(), a.route(), this::abandonStalledAttempt);
    }
    long now = timers.nanos();
    deadlineTimer = timers.schedule(a.deadlineAt() - now, this::expire);
    manager.budget().recordRequest(a.service(), now);
    if (a.isResumable() && !resumesStream()) {
      manager.streams().durations().record(a.route().name(), metadata.timeoutMillis());
    }
    dispatch();
  }

  /**
   * Sends the request to the server with the lowest cost, or holds it if no server may receive it
   * now or if it has to wait behind others.
   */
  void dispatch() {
    place(responseBegun);
  }

  /**
   * Dispatches the request when all held requests ahead of it have been tried. Starts over if the
   * request was held for the first configuration.
   */
  void dispatchInTurn() {
    place(true);
  }

  private void place(boolean inTurn) {
    Admission a = admission;
    if (ended || currentAttempt != null) {
      return;
    }
    if (a == null) {
      start();
      return;
    }
    a = applyNewRegions(a);
    if (a.demand().regions().isEmpty()) {
      giveUp("the route and the account have no allowed region in common");
      return;
    }
    long now = timers.nanos();
    if (a.remainingMillis(now) < manager.settings().minRemainingMillis()) {
      giveUp("no time left");
      return;
    }
    PromptQuarantine.Hit hit = manager.quarantine().find(a.demand().sharedPartIds(), now);
    if (hit != null) {
      endQuarantined(hit);
      return;
    }
    a = resolveOrigin(a, now);
    if (a == null) {
      return;
    }
    boolean canWait = mayWaitForIdleServer(a.demand(), now);
    QueuedRequest needs = responseBegun ? null : describe();
    Choice choice =
        new ServerSelection(manager, a, needs, acceptingServers(a), canWait, now)
            .choose(triedServerIds, !placed);
    placed = true;
    noRoom = choice == null && !canWait && triedServerIds.isEmpty();
    if (choice == null) {
      hold(a, now);
      return;
    }
    if (!inTurn && manager.held().precede(a.demand())) {
      hold(a, now);
      manager.retryHeldSoon();
      return;
    }
    if (sends > 0 && !retryAcquired && !manager.budget().tryAcquire(a.service(), now)) {
      manager.log().logBudgetExhausted(requestId(), a.service());
      giveUp("the retry budget is spent; last: " + lastFailureReason);
      return;
    }
    send(a, choice, now);
  }

  /** Tells whether the caller has events of the stream from an earlier attempt of its own. */
  private boolean resumesStream() {
    return metadata.lastEventId() != null;
  }

  /**
   * Binds a request that resumes a stream to the software version that began it. Holds the request
   * while that is unknown, since peers may tell; it must not be sent anywhere until then.
   *
   * @return the admission, bound if the version is known; null if the request is held
   */
  private @Nullable Admission resolveOrigin(Admission a, long now) {
    if (originResolved || !resumesStream() || !a.isResumable()) {
      return a;
    }
    Resolution r = manager.streams().resolve(resumption(a));
    if (!r.isKnown()) {
      if (originWaitOver) {
        logResolution(a, r);
        refuseUnknownOrigin();
      } else {
        awaitOrigin(a, now);
      }
      return null;
    }
    originResolved = true;
    cancelHold();
    logResolution(a, r);
    String version = r.softwareVersion();
    if (version == null) {
      return a;
    }
    recordOrigin(a, version);
    Admission bound = a.boundTo(version);
    admission = bound;
    return bound;
  }

  private StreamResumption resumption(Admission a) {
    long maxAgeMillis =
        manager
            .streams()
            .durations()
            .maxAgeMillis(a.route().name(), a.route().timeoutMillis(), metadata.timeoutMillis());
    long heldNanos = timers.nanos() - arrivedAt();
    return new StreamResumption(
        a.service(),
        metadata.resumedRequestId(),
        maxAgeMillis * Clock.NANOS_PER_MILLI + heldNanos,
        arrivedAt());
  }

  private void awaitOrigin(Admission a, long now) {
    if (holdTimer == null) {
      ExchangeSettings s = manager.settings();
      long maxMillis =
          Math.min(s.maxOriginWaitMillis(), (long) (s.maxHoldFraction() * a.remainingMillis(now)));
      holdTimer =
          timers.schedule(
              maxMillis * Clock.NANOS_PER_MILLI,
              () -> {
                holdTimer = null;
                originWaitOver = true;
                dispatch();
              });
    }
    manager.hold(this);
  }

  /** Refuses a resumption. Only another router may know more, and it knows that already. */
  private void refuseUnknownOrigin() {
    sendError(
        RequestOutcome.REFUSED,
        UNAVAILABLE,
        "it is not known which software version began the stream",
        UNKNOWN_ORIGIN_RETRY_MILLIS);
  }

  private void logResolution(Admission a, Resolution r) {
    manager.log().logResumed(requestId(), metadata.resumedRequestId(), a.service(), r);
  }

  /** Records which software version has written the events that the caller has. */
  private void recordOrigin(Admission a, String softwareVersion) {
    String id = resumesStream() ? metadata.resumedRequestId() : requestId();
    if (id != null) {
      manager.streams().recordOrigin(id, a.service(), softwareVersion);
    }
  }

  /** Applies regions of a configuration that was activated after the request was admitted. */
  private Admission applyNewRegions(Admission a) {
    RouteTable current = manager.routes();
    Admission next = current == null ? a : a.restrictedBy(current, request, metadata);
    admission = next;
    return next;
  }

  /** Ends the request if a part of its prompt has been quarantined and is not proven harmless. */
  void endIfQuarantined() {
    Admission a = admission;
    if (ended || a == null || responseBegun) {
      return;
    }
    PromptQuarantine.Hit hit =
        manager.quarantine().find(a.demand().sharedPartIds(), timers.nanos());
    if (hit != null) {
      endQuarantined(hit);
    }
  }

  private void endQuarantined(PromptQuarantine.Hit hit) {
    manager.log().logQuarantined(requestId(), hit.part(), hit.remainingMillis(), sends);
    String reason = "its prompt has a part that crashes servers";
    if (verdict == Verdict.NOT_RUN && currentAttempt == null) {
      sendError(RequestOutcome.REFUSED, UNAVAILABLE, reason, hit.remainingMillis());
    } else {
      giveUp(reason);
    }
  }

  private boolean mayWaitForIdleServer(Demand d, long now) {
    ExchangeSettings s = manager.settings();
    double maxMillis =
        Math.min(s.idleServerWaitFraction() * d.objectiveMillis(), s.maxHoldMillis() / 2.0);
    return now - arrivedAt() < maxMillis * Clock.NANOS_PER_MILLI;
  }

  private void send(Admission a, Choice choice, long now) {
    cancelHold();
    retryAcquired = false;
    QueuedRequest needs = describe();
    if (needs != null) {
      manager.overload().usage().recordSent(needs, now);
    }
    sends++;
    BackendServer server = choice.candidate().server();
    triedServerIds.add(server.id());
    lastServerId = server.id();
    lastSoftwareVersion = server.softwareVersion();
    AttemptHandler handler = new AttemptHandler(this, manager, server, a.demand(), choice, now);
    currentAttempt = handler;
    manager
        .log()
        .logSent(requestId(), choice, a.demand(), sends, elapsedMillis(), a.remainingMillis(now));
    handler.start(outbound(a, choice, now), a.route().kind().isStream());
    startStallDetection(a.route());
  }

  private void startStallDetection(Route r) {
    if (stallDetector == null) {
      return;
    }
    stallDetector.stop();
    if (possibleRuns + 1 < r.maxAttempts()) {
      stallDetector.start(responseBegun);
    }
  }

  private OutboundRequest outbound(Admission a, Choice choice, long now) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.headers());
    BackendServer source = choice.cacheSource();
    manager
        .protocol()
        .writeForwardingHeaders(
            headers,
            new ForwardingHeaders(
                choice.candidate().server().id(),
                a.accountName(),
                a.remainingMillis(now),
                a.demand().priority(),
                lastEventId,
                source == null ? null : source.address()));
    if (request.body().length > 0 || methodExpectsBody()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return new OutboundRequest(request.method(), request.target(), headers, request.body());
  }

  /**
   * Fails the attempt at a stalled server if another server is available and the retry budget
   * allows a retry. Does nothing while reading is paused for a slow caller.
   */
  private boolean abandonStalledAttempt() {
    AttemptHandler handler = currentAttempt;
    if (handler == null || admission == null || callerBlocked) {
      return false;
    }
    Admission a = applyNewRegions(admission);
    boolean untriedServer =
        acceptingServers(a).stream().anyMatch(s -> !triedServerIds.contains(s.id()));
    if (!untriedServer || !manager.budget().tryAcquire(a.service(), timers.nanos())) {
      return false;
    }
    retryAcquired = true;
    handler.failStalled();
    return true;
  }

  private boolean methodExpectsBody() {
    String m = request.method().name();
    return m.equals("POST") || m.equals("PUT") || m.equals("PATCH");
  }

  private List<BackendServer> acceptingServers(Admission a) {
    return manager.notices().accepting(manager.eligible().find(a.demand()), arrivedAt());
  }

  /** Holds the request until a server may receive it, unless all want a longer pause than that. */
  private void hold(Admission a, long now) {
    if (holdTimer == null) {
      ExchangeSettings s = manager.settings();
      long remainingMillis = a.remainingMillis(now);
      long maxMillis = Math.min(s.maxHoldMillis(), (long) (s.maxHoldFraction() * remainingMillis));
      logHeld(a, now);
      holdTimer = timers.schedule(maxMillis * Clock.NANOS_PER_MILLI, this::expireHold);
      holdEndsAt = now + maxMillis * Clock.NANOS_PER_MILLI;
    }
    if (now + pauseMillis(a, now) * Clock.NANOS_PER_MILLI - holdEndsAt > 0) {
      giveUp("all servers want a pause");
      return;
    }
    if (!triedServerIds.isEmpty()) {
      triedServerIds.clear();
    }
    manager.hold(this);
    if (noRoom) {
      manager.held().recordFull(a.demand());
      review(load(), manager.held().slotMillisAhead(this));
    }
  }

  /** Returns the load of the servers that the request may go to. */
  ServiceLoad load() {
    Admission a = admission;
    List<BackendServer> servers = a == null ? List.of() : acceptingServers(a);
    return manager.chooser().load(servers, timers.nanos());
  }

  /**
   * Refuses the held request if no server can answer it while its caller waits.
   *
   * @param load the load of the servers that it may go to
   * @param slotMillisAhead slot time in ms that held requests ahead of it need
   */
  void review(ServiceLoad load, double slotMillisAhead) {
    Admission a = admission;
    QueuedRequest needs = describe();
    if (ended || a == null || needs == null || verdict != Verdict.NOT_RUN) {
      return;
    }
    long now = timers.nanos();
    OverloadDecision d = manager.overload().policy().decide(needs, load, slotMillisAhead, now);
    if (d instanceof OverloadDecision.Refuse r) {
      shed(a, r, load, now);
    } else if (d instanceof OverloadDecision.Wait w) {
      roomExpected = w.expected();
    }
  }

  private void shed(Admission a, OverloadDecision.Refuse r, ServiceLoad load, long now) {
    long retryAfterMillis = retryAfterMillis(a, r.startMillis(), now);
    manager
        .log()
        .logShed(requestId(), a.demand(), r, load, manager.held().size(), retryAfterMillis);
    sendError(
        RequestOutcome.REFUSED, UNAVAILABLE, "no server can answer in time", retryAfterMillis);
  }

  private long retryAfterMillis(Admission a, double opensInMillis, long now) {
    return manager
        .overload()
        .retryAfter()
        .millis(opensInMillis, a.remainingMillis(now), a.demand().priority());
  }

  private void logHeld(Admission a, long now) {
    List<BackendServer> known = manager.eligible().find(a.demand());
    int leaving = (int) known.stream().filter(manager.notices()::isLeaving).count();
    int paused = (int) known.stream().filter(s -> manager.notices().isClosed(s, now)).count();
    manager
        .log()
        .logHeld(requestId(), a.service(), known.size(), leaving, paused, manager.held().size());
  }

  /** Returns the time in ms until the first server accepts requests again; 0 if one does now. */
  private long pauseMillis(Admission a, long now) {
    return manager.notices().pauseMillis(acceptingServers(a), now);
  }

  private void cancelHold() {
    if (holdTimer != null) {
      holdTimer.cancel();
      holdTimer = null;
    }
  }

  private void expireHold() {
    holdTimer = null;
    if (extendHold()) {
      return;
    }
    manager.held().remove(this);
    Admission a = admission;
    if (currentAttempt == null && a != null) {
      String reason = manager.eligible().reasonForNone(a.demand());
      giveUp(reason == null ? "no server accepts the request" : reason);
    }
  }

  /** Holds the request for longer if a server is expected to have room while its caller waits. */
  private boolean extendHold() {
    QueuedRequest needs = describe();
    if (needs == null || !noRoom || !roomExpected) {
      return false;
    }
    double fraction = manager.settings().maxExpectedHoldFraction();
    long endsAt = arrivedAt() + (long) (fraction * (needs.leavesAt() - arrivedAt()));
    long now = timers.nanos();
    if (endsAt - now <= 0) {
      return false;
    }
    holdEndsAt = endsAt;
    holdTimer = timers.schedule(endsAt - now, this::expireHold);
    return true;
  }

  // Outcomes of an attempt.

  /** Records that a server has served an attempt of the request. */
  void recordServed(Choice choice, long sentAt) {
    Admission a = admission;
    if (a != null) {
      double millis = (timers.nanos() - sentAt) / (double) Clock.NANOS_PER_MILLI;
      Candidate c = choice.candidate();
      manager
          .overload()
          .slotTimes()
          .record(a.service(), a.route().name(), millis, c.load() + 1, c.server().slots());
    }
  }

  /** Retries the request after an attempt that provably did not run it. */
  void onNotExecuted(String reason) {
    currentAttempt = null;
    lastFailureReason = reason;
    manager.log().logRetried(requestId(), lastServerId, reason, false);
    dispatch();
  }

  /** Retries or ends the request after a failed attempt that may have run it. */
  void onFailed(String reason) {
    currentAttempt = null;
    lastFailureReason = reason;
    verdict = Verdict.MAY_HAVE_RUN;
    possibleRuns++;
    retryOrEnd(reason);
  }

  private void retryOrEnd(String reason) {
    Admission a = admission;
    if (a == null) {
      return;
    }
    Route r = a.route();
    boolean canResume = !responseBegun || (streamBegun && a.isResumable());
    boolean timeLeft = a.remainingMillis(timers.nanos()) >= manager.settings().minRemainingMillis();
    if (a.isRepeatable() && canResume && possibleRuns < r.maxAttempts() && timeLeft) {
      manager.log().logRetried(requestId(), lastServerId, reason, true);
      dispatch();
      return;
    }
    giveUp(reason);
  }

  /** Delivers a buffered response, or retries a repeatable request after a server error. */
  void onResponse(FullResponse response) {
    currentAttempt = null;
    verdict = Verdict.RAN;
    possibleRuns++;
    Admission a = admission;
    if (response.status() >= MIN_SERVER_ERROR && a != null && a.isRepeatable()) {
      fallbackResponse = response;
      lastFailureReason = "server answered " + response.status();
      retryOrEnd(lastFailureReason);
      return;
    }
    deliver(response);
  }

  private void deliver(FullResponse response) {
    caller.sendResponse(response.status(), response.headers(), response.body());
    close(RequestOutcome.ANSWERED, response.status(), "");
  }

  /** Begins the caller's response with a stream, unless an earlier attempt has begun it. */
  void beginStream(int status, HttpHeaders headers) {
    streamBegun = true;
    beginResponse(status, headers);
  }

  /** Begins the caller's response, unless an earlier attempt has begun it. */
  void beginResponse(int status, HttpHeaders headers) {
    verdict = Verdict.RAN;
    if (!responseBegun) {
      responseBegun = true;
      firstByteMillis = elapsedMillis();
      caller.beginResponse(status, headers);
    }
  }

  /** Forwards a part of a plain response to the caller. */
  void forward(byte[] bytes) {
    recordProgress(1);
    caller.sendBody(bytes);
  }

  /** Forwards a part of a stream to the caller. */
  void forwardEvents(EventBatch batch) {
    if (batch.lastEventId() != null) {
      lastEventId = batch.lastEventId();
    }
    // A server that sends only comments makes no progress.
    if (batch.events() > 0) {
      bindToSoftwareVersion();
      recordProgress(batch.events());
    }
    caller.sendBody(batch.bytes());
  }

  /** Keeps a resumable stream at the software version of the server that has sent an event. */
  private void bindToSoftwareVersion() {
    Admission a = admission;
    if (a != null && a.isResumable() && a.demand().softwareVersion() == null) {
      admission = a.boundTo(lastSoftwareVersion);
      recordOrigin(a, lastSoftwareVersion);
    }
  }

  private void recordProgress(int parts) {
    events += parts;
    long now = timers.nanos();
    if (stallDetector != null) {
      stallDetector.recordProgress();
    }
    if (lastForwardedAt != 0) {
      longestGapNanos = Math.max(longestGapNanos, now - lastForwardedAt);
    }
    lastForwardedAt = now;
  }

  /** Ends the caller's response, because the forwarded one is complete. */
  void onForwardingComplete() {
    currentAttempt = null;
    caller.endResponse();
    close(RequestOutcome.ANSWERED, OK, "");
  }

  /** Returns which events the next attempt may add to those that the caller has. */
  EventOrder eventOrder() {
    Admission a = admission;
    return a != null && a.isResumable()
        ? new IncreasingEventIds(lastEventId == null ? metadata.lastEventId() : lastEventId)
        : EventOrder.ANY;
  }

  boolean isRepeatable() {
    Admission a = admission;
    return a != null && a.isRepeatable();
  }

  boolean hasResponseBegun() {
    return responseBegun;
  }

  // End of the request.

  /** Ends the request because its caller closed the connection. */
  public void onCallerDisconnected() {
    if (ended) {
      return;
    }
    cancelAttempt();
    close(RequestOutcome.CALLER_GONE, 0, "the caller closed its connection");
  }

  /**
   * Pauses or resumes the attempt according to the writability of the caller's connection.
   *
   * @param writable false while the write buffer of the caller's connection is full
   */
  public void setCallerWritable(boolean writable) {
    callerBlocked = !writable;
    if (currentAttempt != null) {
      currentAttempt.setPaused(!writable);
    }
  }

  /** Ends the request because the router is shutting down. */
  public void abortForShutdown() {
    if (!ended) {
      giveUp("the router stops");
    }
  }

  private void expire() {
    deadlineTimer = null;
    if (ended) {
      return;
    }
    if (currentAttempt != null) {
      cancelAttempt();
      verdict = Verdict.MAY_HAVE_RUN;
    }
    Admission a = admission;
    boolean routeTimeout = a != null && a.isLimitedByRoute(arrivedAt());
    endWithoutResponse(
        routeTimeout ? "the route's timeout is over" : "the caller's deadline is over", true);
  }

  private void cancelAttempt() {
    AttemptHandler handler = currentAttempt;
    currentAttempt = null;
    if (handler != null) {
      handler.cancel();
    }
  }

  private void giveUp(String reason) {
    if (currentAttempt != null) {
      cancelAttempt();
      verdict = Verdict.MAY_HAVE_RUN;
    }
    FullResponse response = fallbackResponse;
    if (response != null && !responseBegun) {
      deliver(response);
      return;
    }
    endWithoutResponse(reason, false);
  }

  private void endWithoutResponse(String reason, boolean deadlineExceeded) {
    if (responseBegun) {
      truncate(reason);
    } else if (verdict == Verdict.NOT_RUN) {
      refuse(reason);
    } else {
      sendError(RequestOutcome.FAILED, deadlineExceeded ? GATEWAY_TIMEOUT : BAD_GATEWAY, reason, 0);
    }
  }

  private void truncate(String reason) {
    caller.abort();
    close(RequestOutcome.CUT, 0, reason);
  }

  private void refuse(String reason) {
    Admission a = admission;
    long now = timers.nanos();
    long retryAfterMillis = manager.settings().retryAfterMillis();
    if (a != null) {
      retryAfterMillis = Math.max(retryAfterMillis(a, retryAfterMillis, now), pauseMillis(a, now));
    }
    sendError(RequestOutcome.REFUSED, UNAVAILABLE, reason, retryAfterMillis);
  }

  private void sendError(RequestOutcome outcome, int status, String reason, long retryAfterMillis) {
    caller.sendResponse(
        status, ErrorResponses.headers(retryAfterMillis), ErrorResponses.body(reason));
    close(outcome, status, reason);
  }

  private void close(RequestOutcome outcome, int status, String reason) {
    Admission a = admission;
    close(outcome, a == null ? "" : a.route().name(), status, reason);
  }

  private void close(RequestOutcome outcome, String route, int status, String reason) {
    ended = true;
    cancelHold();
    if (stallDetector != null) {
      stallDetector.stop();
    }
    manager.held().remove(this);
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
      deadlineTimer = null;
    }
    manager
        .log()
        .logEnded(
            requestId(),
            route,
            outcome,
            status,
            reason,
            sends,
            elapsedMillis(),
            firstByteMillis,
            longestGapNanos / Clock.NANOS_PER_MILLI,
            events,
            lastSoftwareVersion,
            configVersion());
    manager.onExchangeEnded(this);
  }

  /** Returns the version of the configuration used for this request, or 0 if there is none. */
  private long configVersion() {
    Admission a = admission;
    RouteTable t = a == null ? manager.routes() : a.table();
    return t == null ? 0 : t.version();
  }

  private long elapsedMillis() {
    return (timers.nanos() - arrivedAt()) / Clock.NANOS_PER_MILLI;
  }
}
