package org.wigeonwharf.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Logs which routers became known, in one line for all that became known shortly after each other
 * in the same way. A router that starts finds the whole fleet at once, and logging each peer took
 * as long as some requests. Not thread-safe.
 */
final class FoundPeersLog {
  /** Time in ms after the first unlogged peer at which the line is written. */
  static final long INTERVAL_MILLIS = 500;

  private static final Logger LOG = LoggerFactory.getLogger(FoundPeersLog.class);

  /** Peers by failure domain and the way in which they became known. */
  private final Map<String, Map<String, List<String>>> unlogged = new TreeMap<>();

  private long firstAt;

  /**
   * Adds a peer.
   *
   * @param peer its name or address
   * @param domain its failure domain
   * @param reason how it became known
   * @param now the current time in nanoseconds
   */
  void add(String peer, FailureDomain domain, String reason, long now) {
    if (unlogged.isEmpty()) {
      firstAt = now;
    }
    unlogged
        .computeIfAbsent(domain.value(), d -> new TreeMap<>())
        .computeIfAbsent(reason, r -> new ArrayList<>())
        .add(peer);
  }

  /**
   * Writes the lines if they are due.
   *
   * @param now the current time in nanoseconds
   */
  void writeDue(long now) {
    if (unlogged.isEmpty() || now - firstAt < INTERVAL_MILLIS * Clock.NANOS_PER_MILLI) {
      return;
    }
    unlogged.forEach(
        (domain, byReason) -> byReason.forEach((reason, peers) -> write(domain, reason, peers)));
    unlogged.clear();
  }

  private static void write(String domain, String reason, List<String> peers) {
    LOG.atInfo()
        .addKeyValue("event", "peer.found")
        .addKeyValue("peers", String.join(" ", peers))
        .addKeyValue("count", peers.size())
        .addKeyValue("failure_domain", domain)
        .addKeyValue("reason", reason)
        .log("peer routers found");
  }
}
