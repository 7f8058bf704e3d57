package org.wigeonwharf.gateway.quarantine;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts the ends of backend servers and the decisions about prompt parts. */
public final class QuarantineLog {
  private static final Logger LOG = LoggerFactory.getLogger(QuarantineLog.class);

  private final MetricRegistry metrics;

  /**
   * Creates a log.
   *
   * @param metrics receives the counts
   */
  public QuarantineLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  private static String stageOf(String key) {
    return EvidenceKey.isWhole(key) ? "whole" : "begin";
  }

  void logServerEnd(ServerEnd end) {
    metrics.counter("quarantine.server_ends").inc();
    LOG.atWarn()
        .addKeyValue("event", "server.ended")
        .addKeyValue("server", end.server())
        .addKeyValue("started_at", end.startedAt())
        .addKeyValue("answering", end.answering())
        .addKeyValue("waiting", end.waiting())
        .addKeyValue("running", end.running())
        .log("backend server ended with requests of this router");
  }

  void logQuarantined(
      String key, int score, List<String> servers, boolean proven, int strikes, long millis) {
    metrics.counter("quarantine.begun").inc();
    LOG.atWarn()
        .addKeyValue("event", "part.quarantined")
        .addKeyValue("part", EvidenceKey.partOf(key))
        .addKeyValue("stage", stageOf(key))
        .addKeyValue("score", score)
        .addKeyValue("servers", servers)
        .addKeyValue("answered_before", proven)
        .addKeyValue("strikes", strikes)
        .addKeyValue("for_ms", millis)
        .log("prompt part quarantined because servers ended with it");
  }

  void logAdopted(String key, int strikes, long millis) {
    metrics.counter("quarantine.adopted").inc();
    LOG.atWarn()
        .addKeyValue("event", "part.quarantine_adopted")
        .addKeyValue("part", EvidenceKey.partOf(key))
        .addKeyValue("stage", stageOf(key))
        .addKeyValue("strikes", strikes)
        .addKeyValue("for_ms", millis)
        .log("prompt part quarantined by another router");
  }

  void logReleased(String key, String reason) {
    metrics.counter("quarantine.released").inc();
    LOG.atInfo()
        .addKeyValue("event", "part.released")
        .addKeyValue("part", EvidenceKey.partOf(key))
        .addKeyValue("stage", stageOf(key))
        .addKeyValue("reason", reason)
        .log("prompt part no longer quarantined");
  }
}
