package org.wigeonwharf.gateway.notice;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;

/** Logs and counts what backend servers state of themselves in their answers. */
public final class NoticeLog {
  /** Minimum time between two lines on the pauses of one server. */
  private static final long MIN_INTERVAL_NANOS = Clock.NANOS_PER_SECOND;

  /** Maximum number of servers whose last line is remembered. */
  private static final int MAX_SERVERS = 1_024;

  private static final Logger LOG = LoggerFactory.getLogger(NoticeLog.class);

  private final MetricRegistry metrics;
  private final Map<String, Long> pauseLoggedAt = new HashMap<>();
  private final Set<String> unusableLogged = new HashSet<>();

  /**
   * Creates a log.
   *
   * @param metrics receives the counts
   */
  public NoticeLog(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  void logLeaving(String server) {
    metrics.counter("notices.leaving").inc();
    LOG.atInfo()
        .addKeyValue("event", "server.leaving")
        .addKeyValue("server", server)
        .log("backend server states that it is about to stop");
  }

  void logPaused(String server, double seconds, long now) {
    metrics.counter("notices.pauses").inc();
    Long last = pauseLoggedAt.get(server);
    if (last != null && now - last < MIN_INTERVAL_NANOS) {
      return;
    }
    if (pauseLoggedAt.size() >= MAX_SERVERS) {
      pauseLoggedAt.clear();
    }
    pauseLoggedAt.put(server, now);
    LOG.atInfo()
        .addKeyValue("event", "server.paused")
        .addKeyValue("server", server)
        .addKeyValue("seconds", seconds)
        .log("backend server turned a request away and wants no more for a time");
  }

  void logUnusablePause(String server, String reason) {
    metrics.counter("notices.unusable").inc();
    if (unusableLogged.size() >= MAX_SERVERS) {
      unusableLogged.clear();
    }
    if (unusableLogged.add(server)) {
      LOG.atWarn()
          .addKeyValue("event", "server.pause_unusable")
          .addKeyValue("server", server)
          .addKeyValue("reason", reason)
          .log("backend server names a pause that can't be kept as named");
    }
  }

  void logCold(String server, long leftMillis, double perSecond, double share, String source) {
    metrics.counter("notices.cold").inc();
    LOG.atInfo()
        .addKeyValue("event", "server.cold")
        .addKeyValue("server", server)
        .addKeyValue("left_ms", leftMillis)
        .addKeyValue("per_second", perSecond)
        .addKeyValue("share_per_second", share)
        .addKeyValue("source", source)
        .log("backend server is cold and has to be started gently");
  }

  void countColdSent() {
    metrics.counter("notices.cold_sent").inc();
  }

  void countColdWithheld() {
    metrics.counter("notices.cold_withheld").inc();
  }
}
