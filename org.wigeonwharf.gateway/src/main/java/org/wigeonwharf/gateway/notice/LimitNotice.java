package org.wigeonwharf.gateway.notice;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.limit.ServerLimits;

/** Keeps the requests to servers within the request rates that they name. */
final class LimitNotice implements ServerNotice {
  private final ServerLimits limits;
  private final Map<String, Long> startTimes = new HashMap<>();

  LimitNotice(ServerLimits limits) {
    this.limits = limits;
  }

  @Override
  public void recordAnswer(BackendServer server, ServerStatement statement, long now) {
    if (statement.rateLimit() != null || statement.authentic()) {
      limits.recordAnswer(server.id(), statement.rateLimit(), now);
    }
  }

  @Override
  public double waitMillis(BackendServer server, long now) {
    return limits.waitMillis(server.id(), now);
  }

  @Override
  public void recordDemand(BackendServer server, long now) {
    limits.recordDemand(server.id(), now);
  }

  @Override
  public void recordSent(BackendServer server, long now) {
    limits.recordSent(server.id(), now);
  }

  @Override
  public void retain(Collection<BackendServer> known, long now) {
    Set<String> ids = new HashSet<>();
    for (BackendServer s : known) {
      ids.add(s.id());
      Long previous = startTimes.put(s.id(), s.startedAt());
      // A restart under the same id ends what the run before has named.
      if (previous != null && previous != s.startedAt()) {
        limits.forget(s.id());
      }
    }
    limits.retainServers(ids, now);
    startTimes.keySet().removeIf(id -> !ids.contains(id) && !limits.isLimited(id, now));
  }
}
