package org.wigeonwharf.gateway.http;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeonwharf.gateway.stream.Resolution;

/** Counts attempts and outcomes of requests by route and by server. */
final class RequestMetrics {
  /**
   * Maximum number of values per label that get counters of their own, since routes and servers
   * change over time.
   */
  private static final int MAX_NAMES_PER_LABEL = 500;

  /** Label value for all names beyond the limit. */
  private static final String OVERFLOW_NAME = "others";

  private final MetricRegistry metrics;
  private final Set<String> routes = new HashSet<>();
  private final Set<String> servers = new HashSet<>();

  RequestMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void recordSent(String server, long waitedMillis) {
    count("server.sends", "server", limitNames(servers, server));
    metrics.timer("request.wait").update(waitedMillis, TimeUnit.MILLISECONDS);
  }

  void recordRetry(String server) {
    metrics.counter("retries").inc();
    count("server.failures", "server", limitNames(servers, server));
  }

  void recordBudgetExhausted(String service) {
    count("retries.budget_spent", "service", service);
  }

  void recordQuarantined() {
    metrics.counter("quarantine.requests").inc();
  }

  void recordResumed(Resolution resolution) {
    if (resolution.isKnown()) {
      count("streams.resumed", "source", resolution.source().label());
    } else {
      count("streams.unresolved", "reason", resolution.source().label());
    }
  }

  void recordShed(String service, int priority) {
    String labels = "{service=\"" + sanitize(service) + "\",priority=\"" + priority + "\"}";
    metrics.counter("requests.shed" + labels).inc();
  }

  void recordDroppedLine() {
    metrics.counter("log.dropped").inc();
  }

  void recordEnd(String route, RequestOutcome outcome, long elapsedMillis, long firstByteMillis) {
    String name = sanitize(limitNames(routes, route));
    String labels = "{route=\"" + name + "\",outcome=\"" + outcome.label() + "\"}";
    metrics.counter("requests" + labels).inc();
    metrics.timer("request.time").update(elapsedMillis, TimeUnit.MILLISECONDS);
    if (firstByteMillis >= 0) {
      metrics.timer("request.first_event").update(firstByteMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void count(String metric, String label, String value) {
    metrics.counter(metric + "{" + label + "=\"" + sanitize(value) + "\"}").inc();
  }

  /** Replaces characters that would end a label value. */
  private static String sanitize(String value) {
    return value.replaceAll("[\"\\\\{}\\s]", "_");
  }

  private static String limitNames(Set<String> names, String name) {
    if (names.size() < MAX_NAMES_PER_LABEL) {
      names.add(name);
    }
    return names.contains(name) ? name : OVERFLOW_NAME;
  }
}
