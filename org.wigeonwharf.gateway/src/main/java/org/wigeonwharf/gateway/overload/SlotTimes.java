package org.wigeonwharf.gateway.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures for how long requests use a slot of a server, by service and route. Not thread-safe.
 *
 * <p>A request's time at a server includes its wait in the server's queue, which should not count.
 * Of the requests at a server only as many use a slot as it has; since their number is known late,
 * a low quantile of the times of a route counts besides, and times far beyond it are cut off.
 */
public final class SlotTimes {
  /** Relative change of a quantile by one sample. */
  private static final double QUANTILE_STEP = 0.1;

  /** The quantile of the times of a route. */
  private static final double QUANTILE = 0.3;

  /** Multiple of a route's quantile beyond which a time includes a wait. */
  private static final double MAX_QUANTILE_FACTOR = 2;

  /** Weight of a new sample in the moving average of a service. */
  private static final double SAMPLE_WEIGHT = 0.05;

  /** Number of samples from which a measurement counts. */
  private static final int MIN_SAMPLES = 8;

  /** Maximum number of routes that are measured by themselves, since routes change over time. */
  private static final int MAX_ROUTES = 500;

  private final Map<String, Average> services = new HashMap<>();
  private final Map<String, Quantile> routes = new HashMap<>();

  private static final class Average {
    private double millis;
    private int samples;

    void add(double sample) {
      samples++;
      millis += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (sample - millis);
    }
  }

  private static final class Quantile {
    private double millis;
    private int samples;

    void add(double sample) {
      if (samples++ == 0) {
        millis = sample;
      } else if (sample > millis) {
        millis = Math.min(sample, millis * (1 + QUANTILE_STEP * QUANTILE));
      } else {
        millis = Math.max(sample, millis * (1 - QUANTILE_STEP * (1 - QUANTILE)));
      }
    }
  }

  /**
   * Records a request that a server has served.
   *
   * @param service the service's name
   * @param route the route's name
   * @param millis time in ms from the send to the end of the answer
   * @param load number of requests at the server when it was sent, this one included
   * @param slots number of requests that the server runs concurrently
   */
  public void record(String service, String route, double millis, int load, int slots) {
    double sample = millis * Math.min(1.0, slots / (double) Math.max(1, load));
    if (routes.size() >= MAX_ROUTES && !routes.containsKey(route)) {
      routes.clear();
    }
    Quantile q = routes.computeIfAbsent(route, r -> new Quantile());
    q.add(sample);
    services
        .computeIfAbsent(service, s -> new Average())
        .add(Math.min(sample, MAX_QUANTILE_FACTOR * q.millis));
  }

  /**
   * Returns the mean time for which requests of a service use a slot.
   *
   * @param service the service's name
   * @return milliseconds; 0 if too few were served
   */
  public double ofService(String service) {
    Average a = services.get(service);
    return a == null || a.samples < MIN_SAMPLES ? 0 : a.millis;
  }

  /**
   * Returns the usual time for which requests of a route use a slot.
   *
   * @param service the service's name
   * @param route the route's name
   * @return milliseconds; that of the service if too few of the route were served
   */
  public double ofRoute(String service, String route) {
    Quantile q = routes.get(route);
    return q == null || q.samples < MIN_SAMPLES ? ofService(service) : q.millis;
  }
}
