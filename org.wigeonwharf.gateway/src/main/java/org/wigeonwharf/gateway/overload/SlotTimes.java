package org.wigeonwharf.gateway.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures for how long requests use a slot of a server, by service and route. Not thread-safe.
 *
 * <p>A request's time at a server includes its wait in the server's queue, which is left out: of
 * the requests at a server only as many use a slot as it has.
 */
public final class SlotTimes {
  /** Weight of a new sample in the moving average. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Number of samples from which an average counts. */
  private static final int MIN_SAMPLES = 8;

  /** Maximum number of routes with an average of their own, since routes change over time. */
  private static final int MAX_ROUTES = 500;

  private final Map<String, Average> services = new HashMap<>();
  private final Map<String, Average> routes = new HashMap<>();

  private static final class Average {
    private double millis;
    private int samples;

    void add(double sample) {
      samples++;
      millis += Math.max(SAMPLE_WEIGHT, 1.0 / samples) * (sample - millis);
    }

    boolean isKnown() {
      return samples >= MIN_SAMPLES;
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
    services.computeIfAbsent(service, s -> new Average()).add(sample);
    if (routes.size() >= MAX_ROUTES && !routes.containsKey(route)) {
      routes.clear();
    }
    routes.computeIfAbsent(route, r -> new Average()).add(sample);
  }

  /**
   * Returns the mean time for which requests of a service use a slot.
   *
   * @param service the service's name
   * @return milliseconds; 0 if too few were served
   */
  public double ofService(String service) {
    Average a = services.get(service);
    return a == null || !a.isKnown() ? 0 : a.millis;
  }

  /**
   * Returns the mean time for which requests of a route use a slot.
   *
   * @param service the service's name
   * @param route the route's name
   * @return milliseconds; that of the service if too few of the route were served
   */
  public double ofRoute(String service, String route) {
    Average a = routes.get(route);
    return a == null || !a.isKnown() ? ofService(service) : a.millis;
  }
}
