package org.wigeonwharf.gateway.route;

import java.util.List;

/**
 * A Route says where the requests of one host and path prefix go and how they are treated.
 *
 * @param name the route's name, for logs and metrics
 * @param host the host that callers name, in lower case and without a port
 * @param prefix the path prefix, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest wait for the whole answer, from the request's arrival
 * @param objectiveMillis latency objective for the answer, or for a stream's first event
 * @param interTokenObjectiveMillis longest pause between a stream's events within the objective; 0
 *     if none
 * @param priority rank among routes; 0 goes first
 * @param split the services that share the requests, at least one
 * @param maxAttempts most backend servers that one request may be sent to
 * @param open true if callers need no key
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
    boolean open) {
  /** Servers that a request may be sent to where the route does not say. */
  public static final int DEFAULT_MAX_ATTEMPTS = 1;

  /** The rank of routes that have none: behind all others. */
  public static final int LOWEST_PRIORITY = 9;

  /** Copies the split. */
  public Route {
    split = List.copyOf(split);
  }

  /**
   * Picks the service for one request.
   *
   * @param point a number from 0 (inclusive) to 1 (exclusive), spread evenly over requests
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
