package org.wigeonwharf.gateway.notice;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.model.Clock;

/**
 * Keeps requests from servers that state that they are about to stop.
 *
 * <p>The statement holds until the end of the server's run, whatever the store says and whatever
 * later answers leave out: answers may arrive out of order.
 */
final class LeavingServers implements ServerNotice {
  /**
   * Time in ms after a server's first statement in which arriving requests may still be sent there
   * if no other server is left: shorter than leaving servers keep serving.
   */
  private static final long LAST_RESORT_MILLIS = 2_000;

  /** Time in ms for which the run of a server is remembered that is not published any more. */
  private static final long MEMORY_MILLIS = 600_000;

  /** Maximum number of runs that are remembered although they are not published any more. */
  private static final int MAX_UNPUBLISHED = 1_024;

  private final NoticeLog log;
  private final Map<ServerRun, Long> statedAt = new HashMap<>();

  LeavingServers(NoticeLog log) {
    this.log = log;
  }

  @Override
  public void recordAnswer(BackendServer server, ServerStatement statement, long now) {
    if (statement.leaving() && statedAt.putIfAbsent(ServerRun.of(server), now) == null) {
      log.logLeaving(server.id());
    }
  }

  /** Returns the servers to which a request that arrived at a time may be sent. */
  List<BackendServer> accepting(List<BackendServer> servers, long arrivedAt) {
    if (statedAt.isEmpty()) {
      return servers;
    }
    List<BackendServer> staying = servers.stream().filter(s -> !isLeaving(s)).toList();
    return staying.isEmpty()
        ? servers.stream().filter(s -> isLastResort(s, arrivedAt)).toList()
        : staying;
  }

  boolean isLeaving(BackendServer server) {
    return statedAt.containsKey(ServerRun.of(server));
  }

  private boolean isLastResort(BackendServer server, long arrivedAt) {
    Long since = statedAt.get(ServerRun.of(server));
    return since != null && arrivedAt - since < LAST_RESORT_MILLIS * Clock.NANOS_PER_MILLI;
  }

  int count() {
    return statedAt.size();
  }

  @Override
  public void retain(Collection<BackendServer> known, long now) {
    Set<ServerRun> runs = new HashSet<>();
    known.forEach(s -> runs.add(ServerRun.of(s)));
    // An entry may expire and be published again within the same run.
    statedAt
        .entrySet()
        .removeIf(
            e ->
                !runs.contains(e.getKey())
                    && (!e.getKey().isUnique()
                        || now - e.getValue() >= MEMORY_MILLIS * Clock.NANOS_PER_MILLI));
    statedAt.entrySet().stream()
        .filter(e -> !runs.contains(e.getKey()))
        .sorted(Comparator.comparingLong(e -> now - e.getValue()))
        .skip(MAX_UNPUBLISHED)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(statedAt::remove);
  }
}
