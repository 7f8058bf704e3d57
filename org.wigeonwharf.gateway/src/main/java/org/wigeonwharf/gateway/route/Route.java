package org.wigeonwharf.gateway.route;

import java.util.List;

/**
 * Defines the destination and handling of requests with one host and path prefix.
 *
 * @param name the route's name, for logs and metrics
 * @param host the host of the request, in lower case and without a port
 * @param prefix the path prefix, starting and ending with a slash
 * @param kind whether requests may be repeated or resumed
 * @param timeoutMillis maximum time until the answer is complete, from the request's arrival
 * @param objectiveMillis latency objective for the answer, or for a stream's first event
 * @param interTokenObjectiveMillis latency objective for the time between two events of a stream; 0
 *     if there is none
 * @param priority rank among routes; 0 is the highest
 * @param split the services that share the requests by weight; at least one
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param open true if callers need no API key
 * @param regions the regions in which its requests may be served, cached and stored
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMillis,
    long objectiveMillis,
    long interTokenObjectiveMillis,
    int priority,
    List<ServiceShare> split,
    int maxAttempts,
    boolean open,
    AllowedRegions regions) {
  /** Maximum number of attempts if the route does not configure it. */
  public static final int DEFAULT_MAX_ATTEMPTS = 1;

  /** Rank of routes without a configured one: after all others. */
  public static final int LOWEST_PRIORITY = 9;

  /** Copies {@code split}. */
  public Route {
    split = List.copyOf(split);
  }

  /**
   * Picks the service for one request according to the weights.
   *
   * @param point a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over requests
   * @return the service's name
   */
  public String pickService(double point) {
    long total = 0;
    for (ServiceShare s : split) {
      total += s.weight();
    }
    double remaining = point * total;
    for (ServiceShare s : split) {
      remaining -= s.weight();
      if (remaining < 0) {
        return s.service();
      }
    }
    return split.get(split.size() - 1).service();
  }
}
