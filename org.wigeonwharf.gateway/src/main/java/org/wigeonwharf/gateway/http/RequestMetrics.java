package org.wigeonwharf.gateway.http;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** RequestMetrics count what becomes of requests, by route and by server. */
final class RequestMetrics {
  /** Names of one kind that get counters of their own; routes and servers come and go. */
  private static final int MAX_NAMES = 500;

  /** Stands for all names beyond the bound. */
  private static final String OTHERS = "others";

  private final MetricRegistry metrics;
  private final Set<String> routes = new HashSet<>();
  private final Set<String> servers = new HashSet<>();

  RequestMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void sent(String server, long waitedMillis) {
    count("server.sends", "server", bounded(servers, server));
    metrics.timer("request.wait").update(waitedMillis, TimeUnit.MILLISECONDS);
  }

  void retried(String server) {
    metrics.counter("retries").inc();
    count("server.failures", "server", bounded(servers, server));
  }

  void budgetSpent(String service) {
    count("retries.budget_spent", "service", service);
  }

  void lineDropped() {
    metrics.counter("log.dropped").inc();
  }

  void ended(String route, RequestOutcome outcome, long millis, long firstMillis) {
    String name = plain(bounded(routes, route));
    String labels = "{route=\"" + name + "\",outcome=\"" + outcome.word() + "\"}";
    metrics.counter("requests" + labels).inc();
    metrics.timer("request.time").update(millis, TimeUnit.MILLISECONDS);
    if (firstMillis >= 0) {
      metrics.timer("request.first_event").update(firstMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void count(String metric, String label, String value) {
    metrics.counter(metric + "{" + label + "=\"" + plain(value) + "\"}").inc();
  }

  /** Leaves out what would end a label. */
  private static String plain(String value) {
    return value.replaceAll("[\"\\\\{}\\s]", "_");
  }

  private static String bounded(Set<String> names, String name) {
    if (names.size() < MAX_NAMES) {
      names.add(name);
    }
    return names.contains(name) ? name : OTHERS;
  }
}
