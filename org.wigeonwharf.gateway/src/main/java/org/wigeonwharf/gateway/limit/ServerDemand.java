package org.wigeonwharf.gateway.limit;

/**
 * Holds the demand of some routers for a server with a limit.
 *
 * @param wanted requests per second that would be sent to it if it had no limit
 * @param sent requests per second that are sent to it
 */
public record ServerDemand(double wanted, double sent) {
  static final ServerDemand NONE = new ServerDemand(0, 0);

  ServerDemand plus(ServerDemand other) {
    return new ServerDemand(wanted + other.wanted, sent + other.sent);
  }
}
