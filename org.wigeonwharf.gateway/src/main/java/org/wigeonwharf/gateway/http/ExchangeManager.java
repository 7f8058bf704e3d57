package org.wigeonwharf.gateway.http;

import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.placement.ServerChooser;
import org.wigeonwharf.gateway.retry.RetryBudget;
import org.wigeonwharf.gateway.route.RouteTable;

/**
 * Exchanges is what all requests of a router share. Everything runs on the thread of the timers.
 */
public final class ExchangeManager {
  private final Supplier<@Nullable RouteTable> routes;
  private final ServerDirectory directory;
  private final ServerChooser chooser;
  private final RetryBudget budget;
  private final ExchangeProtocol protocol;
  private final BackendConnector connector;
  private final Timers timers;
  private final RequestLog log;
  private final ExchangeSettings settings;
  private final DoubleSupplier splitPoints;
  private final HeldRequests held = new HeldRequests();
  private long count;
  private int active;
  private boolean closed;

  /**
   * Creates the shared parts.
   *
   * @param routes the routes in force, or null before the first
   * @param directory the backend servers
   * @param chooser picks servers
   * @param budget bounds repeated sends
   * @param protocol spells headers
   * @param connector reaches backend servers
   * @param timers time and timers
   * @param log takes decisions and outcomes
   * @param settings own limits
   * @param splitPoints gives numbers from 0 to 1 that divide split routes
   */
  public ExchangeManager(
      Supplier<@Nullable RouteTable> routes,
      ServerDirectory directory,
      ServerChooser chooser,
      RetryBudget budget,
      ExchangeProtocol protocol,
      BackendConnector connector,
      Timers timers,
      RequestLog log,
      ExchangeSettings settings,
      DoubleSupplier splitPoints) {
    this.routes = routes;
    this.directory = directory;
    this.chooser = chooser;
    this.budget = budget;
    this.protocol = protocol;
    this.connector = connector;
    this.timers = timers;
    this.log = log;
    this.settings = settings;
    this.splitPoints = splitPoints;
  }

  /**
   * Begins to serve a request.
   *
   * @param request the request
   * @param caller takes its answer
   * @return the request's life
   */
  public Exchange begin(CallerRequest request, CallerChannel caller) {
    active++;
    Exchange e = new Exchange(this, ++count, request, caller);
    e.start();
    return e;
  }

  /** Refuses all requests that come from now on; those under way go on. */
  public void close() {
    closed = true;
  }

  boolean isClosed() {
    return closed;
  }

  /** Lets held requests try again after something changed. */
  public void retryHeld() {
    held.retry();
  }

  /** Returns the number of requests that are not ended. */
  public int active() {
    return active;
  }

  /** Returns the number of requests that are held for lack of a server. */
  public int heldCount() {
    return held.size();
  }

  void onExchangeEnded() {
    active--;
    if (held.size() > 0) {
      timers.schedule(0, held::retry);
    }
  }

  @Nullable RouteTable routes() {
    return routes.get();
  }

  ServerDirectory directory() {
    return directory;
  }

  ServerChooser chooser() {
    return chooser;
  }

  RetryBudget budget() {
    return budget;
  }

  ExchangeProtocol protocol() {
    return protocol;
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

  double nextSplitPoint() {
    return splitPoints.getAsDouble();
  }
}
