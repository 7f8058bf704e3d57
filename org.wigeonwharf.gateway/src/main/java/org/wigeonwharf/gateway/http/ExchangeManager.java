package org.wigeonwharf.gateway.http;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.eligibility.EligibleServers;
import org.wigeonwharf.gateway.notice.ServerNotices;
import org.wigeonwharf.gateway.overload.OverloadControl;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.retry.RetryBudget;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.stream.ResumableStreams;
import org.wigeonwharf.model.Clock;

/**
 * Creates the exchanges of a router and holds the objects they share. All methods must be called on
 * the thread that runs the timers' actions.
 */
public final class ExchangeManager {
  /** Time in ms between two attempts to dispatch the held requests. */
  private static final long HELD_RETRY_INTERVAL_MILLIS = 20;

  private final Supplier<@Nullable RouteTable> routes;
  private final ServerDirectory directory;
  private final EligibleServers eligible;
  private final ServerChooser chooser;
  private final ServerNotices notices;
  private final RetryBudget budget;
  private final ExchangeProtocol protocol;
  private final ResumableStreams streams;
  private final BackendConnector connector;
  private final PromptQuarantine quarantine;
  private final ServerEndDetector serverEnds;
  private final EndedServers endedServers;
  private final Timers timers;
  private final RequestLog log;
  private final ExchangeSettings settings;
  private final DoubleSupplier splitPoints;
  private final OverloadControl overload;
  private final HeldRequests held;
  private long lastNumber;
  private final Set<Exchange> active = new LinkedHashSet<>();
  private boolean closed;
  private boolean retryScheduled;
  private boolean immediateRetryScheduled;

  /**
   * Creates a manager without exchanges.
   *
   * @param routes supplies the current routes, or null before the first configuration
   * @param directory the backend servers
   * @param eligible the servers that a request may be sent to
   * @param chooser chooses the server of each request
   * @param notices what servers state of themselves
   * @param overload decides which requests wait while servers have no room
   * @param budget limits retries
   * @param protocol reads and writes headers
   * @param streams the resumable streams of callers
   * @param connector sends requests to backend servers
   * @param quarantine decides which prompts are kept from the backend servers
   * @param endedServers receives the servers that no longer answer
   * @param livenessCheck finds out whether a server whose connections are lost has ended
   * @param timers clock and timers
   * @param log records decisions and outcomes
   * @param settings the router's own limits
   * @param splitPoints supplies uniformly distributed numbers from 0 to 1 that select the service
   *     of a split route
   */
  public ExchangeManager(
      Supplier<@Nullable RouteTable> routes,
      ServerDirectory directory,
      EligibleServers eligible,
      ServerChooser chooser,
      ServerNotices notices,
      OverloadControl overload,
      RetryBudget budget,
      ExchangeProtocol protocol,
      ResumableStreams streams,
      BackendConnector connector,
      PromptQuarantine quarantine,
      EndedServers endedServers,
      LivenessCheck livenessCheck,
      Timers timers,
      RequestLog log,
      ExchangeSettings settings,
      DoubleSupplier splitPoints) {
    this.routes = routes;
    this.directory = directory;
    this.eligible = eligible;
    this.chooser = chooser;
    this.notices = notices;
    this.overload = overload;
    this.held = new HeldRequests(timers, overload.usage());
    this.budget = budget;
    this.protocol = protocol;
    this.streams = streams;
    this.connector = connector;
    this.quarantine = quarantine;
    this.endedServers = endedServers;
    this.serverEnds = new ServerEndDetector(directory, livenessCheck, quarantine, timers);
    quarantine.onQuarantine(this::endQuarantined);
    this.timers = timers;
    this.log = log;
    this.settings = settings;
    this.splitPoints = splitPoints;
  }

  /**
   * Begins to handle a request.
   *
   * @param request the request
   * @param caller receives its response
   * @return the request's exchange
   */
  public Exchange begin(CallerRequest request, CallerChannel caller) {
    Exchange e = new Exchange(this, ++lastNumber, request, caller);
    active.add(e);
    e.start();
    return e;
  }

  /** Refuses all new requests; those in progress continue. */
  public void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** Dispatches held requests again. Called after servers or routes changed. */
  public void retryHeld() {
    held.retry();
  }

  /** Returns the number of requests in progress. */
  public int active() {
    return active.size();
  }

  /** Returns the number of requests held until a server or the first configuration is available. */
  public int heldCount() {
    return held.size();
  }

  void onExchangeEnded(Exchange e) {
    active.remove(e);
    if (held.size() > 0) {
      retryHeldSoon();
    }
  }

  /** Dispatches held requests again once the current action has ended. */
  void retryHeldSoon() {
    if (!immediateRetryScheduled) {
      immediateRetryScheduled = true;
      timers.schedule(
          0,
          () -> {
            immediateRetryScheduled = false;
            held.retry();
          });
    }
  }

  /** Ends the requests at servers that a part quarantined meanwhile may crash next. */
  private void endQuarantined() {
    timers.schedule(0, () -> List.copyOf(active).forEach(Exchange::endIfQuarantined));
  }

  @Nullable RouteTable routes() {
    return routes.get();
  }

  ServerDirectory directory() {
    return directory;
  }

  EligibleServers eligible() {
    return eligible;
  }

  ServerChooser chooser() {
    return chooser;
  }

  ServerNotices notices() {
    return notices;
  }

  OverloadControl overload() {
    return overload;
  }

  RetryBudget budget() {
    return budget;
  }

  ExchangeProtocol protocol() {
    return protocol;
  }

  ResumableStreams streams() {
    return streams;
  }

  PromptQuarantine quarantine() {
    return quarantine;
  }

  ServerEndDetector serverEnds() {
    return serverEnds;
  }

  EndedServers endedServers() {
    return endedServers;
  }

  BackendConnector connector() {
    return connector;
  }

  Timers timers() {
    return timers;
  }

  RequestLog log() {
    return log;
  }

  ExchangeSettings settings() {
    return settings;
  }

  HeldRequests held() {
    return held;
  }

  /** Holds a request and dispatches it again at intervals until it is no longer held. */
  void hold(Exchange e) {
    held.add(e);
    if (!retryScheduled) {
      retryScheduled = true;
      timers.schedule(
          HELD_RETRY_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI,
          () -> {
            retryScheduled = false;
            held.retry();
          });
    }
  }

  double nextSplitPoint() {
    return splitPoints.getAsDouble();
  }
}
