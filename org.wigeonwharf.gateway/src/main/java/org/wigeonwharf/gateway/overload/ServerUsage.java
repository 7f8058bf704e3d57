package org.wigeonwharf.gateway.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures the server time that this router's requests have used recently, by service, priority and
 * client account. Not thread-safe.
 */
public final class ServerUsage implements PriorityMix {
  private final Map<String, ServiceUsage> services = new HashMap<>();
  private long recordedAt;

  /**
   * Records that a request was sent to a server, whether it has waited or not.
   *
   * @param request what it needs
   * @param now the current time in nanoseconds
   */
  public void recordSent(QueuedRequest request, long now) {
    of(request.service(), now).record(request, now);
    recordedAt = now;
  }

  ServiceUsage of(String service, long now) {
    return services.computeIfAbsent(service, s -> new ServiceUsage(now));
  }

  /**
   * Returns the share of the recent use of a service that was by more urgent requests.
   *
   * @param service the service's name
   * @param priority the priority; 0 is the highest
   */
  public double shareMoreUrgent(String service, int priority) {
    return services.containsKey(service) ? share(service, priority) : 0;
  }

  @Override
  public double shareNotLessUrgent(String service, int priority) {
    return services.containsKey(service) ? share(service, priority + 1) : 1;
  }

  /** Returns the share of the recent use by requests with a priority above the given one. */
  private double share(String service, int priority) {
    double total = 0;
    double above = 0;
    for (Map.Entry<Integer, Double> e : of(service, recordedAt).byPriority(recordedAt).entrySet()) {
      total += e.getValue();
      above += e.getKey() < priority ? e.getValue() : 0;
    }
    return total <= 0 ? 1 : above / total;
  }
}
