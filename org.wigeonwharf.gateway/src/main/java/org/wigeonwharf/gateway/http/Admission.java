package org.wigeonwharf.gateway.http;

import io.vavr.control.Either;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.route.Account;
import org.wigeonwharf.gateway.route.RequestKind;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.Clock;

/**
 * Holds the decisions made when a request is admitted: its route, the caller's account, the service
 * and the deadline.
 *
 * @param table the configuration used
 * @param route the request's route
 * @param account the caller's account, or null if the route is open and the caller did not
 *     authenticate
 * @param demand the properties that decide its placement
 * @param deadlineAt the time in nanoseconds at which the request is ended, complete or not
 */
record Admission(
    RouteTable table, Route route, @Nullable Account account, Demand demand, long deadlineAt) {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;

  /**
   * Holds the reason why a request was not admitted.
   *
   * @param route the route's name; empty if there is none
   * @param status the response's status
   * @param reason the text sent to the caller
   */
  record Denial(String route, int status, String reason) {}

  /**
   * Decides whether a request is admitted.
   *
   * @param table the current configuration
   * @param request the request
   * @param metadata the metadata from its headers
   * @param splitPoints supplies uniformly distributed numbers from 0 to 1 that select the service
   *     of a split route
   * @return the admission, or the reason for its denial
   */
  static Either<Denial, Admission> of(
      RouteTable table,
      CallerRequest request,
      RequestMetadata metadata,
      DoubleSupplier splitPoints) {
    Route route = table.find(request.host(), request.target());
    if (route == null) {
      return Either.left(new Denial("", NOT_FOUND, "no route"));
    }
    Account account = metadata.apiKey() == null ? null : table.account(metadata.apiKey());
    if (account == null && !route.open() && table.requiresKeys()) {
      return Either.left(new Denial(route.name(), UNAUTHORIZED, "unknown key"));
    }
    int priority = account == null ? route.priority() : account.priority().orElse(route.priority());
    Demand demand =
        new Demand(
            route.pickService(splitPoints.getAsDouble()),
            priority,
            metadata.parts(),
            metadata.promptTokens(),
            metadata.outputTokens(),
            route.objectiveMillis(),
            route.interTokenObjectiveMillis(),
            account == null ? null : account.name(),
            RouteTable.regions(route, account));
    long timeoutMillis =
        metadata.timeoutMillis() < 0
            ? route.timeoutMillis()
            : Math.min(route.timeoutMillis(), metadata.timeoutMillis());
    long deadlineAt = request.arrivedAt() + timeoutMillis * Clock.NANOS_PER_MILLI;
    return Either.right(new Admission(table, route, account, demand, deadlineAt));
  }

  /**
   * Applies the regions that a newer configuration allows, in addition to those that applied so
   * far. Everything else stays as it was when the request arrived.
   *
   * @param current the current configuration
   * @param request the request
   * @param metadata the metadata from its headers
   * @return this admission, or a more restricted one; regions that were excluded once remain so
   */
  Admission restrictedBy(RouteTable current, CallerRequest request, RequestMetadata metadata) {
    if (current.version() <= table.version()) {
      return this;
    }
    Route newRoute = current.find(request.host(), request.target());
    if (newRoute == null) {
      return this;
    }
    Account newAccount = metadata.apiKey() == null ? null : current.account(metadata.apiKey());
    Demand restricted = demand.restrictedTo(RouteTable.regions(newRoute, newAccount));
    return restricted.regions().equals(demand.regions())
        ? this
        : new Admission(table, route, account, restricted, deadlineAt);
  }

  /**
   * Restricts the request to the servers of one software version.
   *
   * @param softwareVersion the version that has begun its stream
   */
  Admission boundTo(String softwareVersion) {
    return new Admission(table, route, account, demand.boundTo(softwareVersion), deadlineAt);
  }

  /** Returns the name of the service that serves the request. */
  String service() {
    return demand.service();
  }

  /** Returns the name of the caller's account, or null if it did not authenticate. */
  @Nullable String accountName() {
    return account == null ? null : account.name();
  }

  /** Tells whether the request may be sent again after it may have run. */
  boolean isRepeatable() {
    return route.kind().isRepeatable();
  }

  /** Tells whether another server may continue the answer after an event of it. */
  boolean isResumable() {
    return route.kind() == RequestKind.RESUMABLE_STREAM;
  }

  /**
   * Returns the time remaining until the deadline.
   *
   * @param now the current time in nanoseconds
   * @return milliseconds; negative once the deadline has passed
   */
  long remainingMillis(long now) {
    return (deadlineAt - now) / Clock.NANOS_PER_MILLI;
  }

  /**
   * Tells whether the deadline results from the route's timeout rather than from the caller's own.
   *
   * @param arrivedAt the time in nanoseconds at which the request arrived
   */
  boolean isLimitedByRoute(long arrivedAt) {
    return deadlineAt - arrivedAt >= route.timeoutMillis() * Clock.NANOS_PER_MILLI;
  }
}
