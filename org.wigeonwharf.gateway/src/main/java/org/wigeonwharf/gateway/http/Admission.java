package org.wigeonwharf.gateway.http;

import io.vavr.control.Either;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.route.Account;
import org.wigeonwharf.gateway.route.Route;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.model.Clock;

/**
 * An Admission is what was settled on a request when it was let in: its route, its caller's
 * account, the service it goes to and the time it has.
 *
 * @param table the configuration that decided
 * @param route the request's route
 * @param account the caller's account, or null if the route is open and the caller proved none
 * @param demand what placement has to know
 * @param deadlineAt the time in nanoseconds at which the request ends with whatever there is
 */
record Admission(
    RouteTable table, Route route, @Nullable Account account, Demand demand, long deadlineAt) {
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;

  /**
   * A Denial says why a request was not let in.
   *
   * @param route the route's name; empty if there is none
   * @param status the answer's status
   * @param reason what the caller is told
   */
  record Denial(String route, int status, String reason) {}

  /**
   * Decides whether a request is let in.
   *
   * @param table the configuration in force
   * @param request the request
   * @param metadata what its headers say
   * @param splitPoints gives numbers from 0 to 1 that divide split routes
   * @return the admission, or why there is none
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
            route.interTokenObjectiveMillis());
    long timeoutMillis =
        metadata.timeoutMillis() < 0
            ? route.timeoutMillis()
            : Math.min(route.timeoutMillis(), metadata.timeoutMillis());
    long deadlineAt = request.arrivedAt() + timeoutMillis * Clock.NANOS_PER_MILLI;
    return Either.right(new Admission(table, route, account, demand, deadlineAt));
  }

  /** Returns the name of the service that the request goes to. */
  String service() {
    return demand.service();
  }

  /** Returns the caller's name for servers, or null if it proved none. */
  @Nullable String accountName() {
    return account == null ? null : account.name();
  }

  /** Tells whether a request that may have run may be sent again. */
  boolean isRepeatable() {
    return route.kind().isRepeatable();
  }

  /**
   * Returns the time that is left.
   *
   * @param now the current time in nanoseconds
   * @return milliseconds; negative once the deadline is over
   */
  long remainingMillis(long now) {
    return (deadlineAt - now) / Clock.NANOS_PER_MILLI;
  }

  /**
   * Tells whether the route ends the request, rather than the caller's own deadline.
   *
   * @param arrivedAt when the request arrived
   */
  boolean isLimitedByRoute(long arrivedAt) {
    return deadlineAt - arrivedAt >= route.timeoutMillis() * Clock.NANOS_PER_MILLI;
  }
}
