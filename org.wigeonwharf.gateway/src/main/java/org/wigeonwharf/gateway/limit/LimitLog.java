package org.wigeonwharf.gateway.limit;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;

/** Logs and counts the limits of backend servers and what is withheld from them. */
public final class LimitLog {
  /** Minimum time between two lines on one server. */
  private static final long MIN_INTERVAL_NANOS = Clock.NANOS_PER_SECOND;

  /** Maximum number of servers whose last line is remembered. */
  private static final int MAX_SERVERS = 1_024;

  private static final Logger LOG = LoggerFactory.getLogger(LimitLog.class);

  private final MetricRegistry metrics;
  private final Map<String, Long> withheldLoggedAt = new HashMap<>();

  /**
   * Creates a log.
   *
   * @param metrics receives the counts
   */
  public LimitLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void logLimited(String server, double perSecond, String source) {
    metrics.counter("limits.named").inc();
    LOG.atInfo()
        .addKeyValue("event", "server.limited")
        .addKeyValue("server", server)
        .addKeyValue("per_second", perSecond)
        .addKeyValue("source", source)
        .log("backend server names the request rate that it accepts");
  }

  void logLifted(String server, String source) {
    metrics.counter("limits.lifted").inc();
    LOG.atInfo()
        .addKeyValue("event", "server.limit_lifted")
        .addKeyValue("server", server)
        .addKeyValue("source", source)
        .log("backend server names no limit any more");
  }

  void logWithheld(
      String server,
      double perSecond,
      double share,
      ServerDemand own,
      ServerDemand others,
      long now) {
    metrics.counter("limits.withheld").inc();
    Long last = withheldLoggedAt.get(server);
    if (last != null && now - last < MIN_INTERVAL_NANOS) {
      return;
    }
    if (withheldLoggedAt.size() >= MAX_SERVERS) {
      withheldLoggedAt.clear();
    }
    withheldLoggedAt.put(server, now);
    LOG.atInfo()
        .addKeyValue("event", "server.limit_reached")
        .addKeyValue("server", server)
        .addKeyValue("per_second", perSecond)
        .addKeyValue("share_per_second", share)
        .addKeyValue("wanted_per_second", own.wanted())
        .addKeyValue("sent_per_second", own.sent())
        .addKeyValue("others_wanted_per_second", others.wanted())
        .addKeyValue("others_sent_per_second", others.sent())
        .log("request withheld from a backend server because of its limit");
  }
}
