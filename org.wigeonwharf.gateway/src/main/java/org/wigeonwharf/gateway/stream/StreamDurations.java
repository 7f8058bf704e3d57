package org.wigeonwharf.gateway.stream;

import java.util.HashMap;
import java.util.Map;

/** Bounds the time since a stream began that its caller resumes. Not thread-safe. */
public final class StreamDurations {
  /** Longest time in ms for which a caller is assumed to wait for a stream in all its attempts. */
  static final long MAX_MILLIS = 120_000;

  /** Time in ms by which a request may arrive later than its caller sent it. */
  static final long MARGIN_MILLIS = 1_000;

  /** Maximum number of routes; all are forgotten when it is reached. */
  private static final int MAX_ROUTES = 2_000;

  private final Map<String, Long> longestMillis = new HashMap<>();

  /**
   * Records how long a caller waits that begins a stream.
   *
   * @param route the route's name
   * @param timeoutMillis how long the caller waits, in ms; negative if it does not say so
   */
  public void record(String route, long timeoutMillis) {
    if (longestMillis.size() >= MAX_ROUTES) {
      longestMillis.clear();
    }
    longestMillis.merge(route, Math.min(timeoutMillis, MAX_MILLIS), Math::max);
  }

  /**
   * Returns the maximum time since a stream began. The time that its caller still waits is taken
   * off the longest time for which callers of the route wait. A caller that still waits for longer
   * than that shows that it is not the longest.
   *
   * @param route the route's name
   * @param routeTimeoutMillis the timeout of the route in ms
   * @param remainingMillis how long the caller still waits, in ms; negative if it does not say so
   * @return the time in ms, including a margin
   */
  public long maxAgeMillis(String route, long routeTimeoutMillis, long remainingMillis) {
    long longest = Math.max(routeTimeoutMillis, longestMillis.getOrDefault(route, 0L));
    if (remainingMillis > longest) {
      return MAX_MILLIS;
    }
    return longest - Math.max(0, remainingMillis) + MARGIN_MILLIS;
  }
}
