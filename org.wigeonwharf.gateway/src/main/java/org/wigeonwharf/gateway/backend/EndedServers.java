package org.wigeonwharf.gateway.backend;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.wigeonwharf.model.Clock;

/**
 * Remembers which runs of backend servers have ended, so that one router's failed request spares
 * those of the others.
 *
 * <p>A server's entry expires only seconds after its end. Until then each router would send
 * requests there in vain, all of which count as retries. Only refused connections and answers of
 * another instance count, which a network partition cannot cause. Not thread-safe.
 */
public final class EndedServers {
  /** Time in ms for which other routers are informed of an end. */
  private static final long MAX_AGE_MILLIS = 1_500;

  /** Time in ms by which the age of an end may grow on its way through several routers. */
  private static final long TRANSIT_MILLIS = 100;

  /** Maximum number of runs remembered, all of which are sent in one message. */
  private static final int MAX_RUNS = 40;

  private record Run(String id, long startedAt) {}

  private record End(boolean replaced, long foundAt) {}

  private final Map<Run, End> ends = new HashMap<>();
  private Consumer<EndedServer> onPeerReport = e -> {};
  private long changeCount;

  /**
   * Sets the action for ends that other routers have found out.
   *
   * @param action receives each of them once
   */
  public void onPeerReport(Consumer<EndedServer> action) {
    onPeerReport = action;
  }

  /**
   * Records that this router found out that a server has ended.
   *
   * @param server the server
   * @param replaced true if another instance answers at its address
   * @param now the current time in nanoseconds
   */
  public void recordEnd(BackendServer server, boolean replaced, long now) {
    if (put(new Run(server.id(), server.startedAt()), new End(replaced, now), now)) {
      changeCount++;
    }
  }

  /**
   * Merges what another router knows.
   *
   * @param reports the ends, with their ages
   * @param now the current time in nanoseconds
   */
  public void merge(List<EndedServer> reports, long now) {
    for (EndedServer e : reports) {
      boolean recent = e.ageNanos() < MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
      End end = new End(e.replaced(), now - e.ageNanos());
      if (recent && put(new Run(e.id(), e.startedAt()), end, now)) {
        onPeerReport.accept(e);
      }
    }
  }

  /** Returns false if the end is known already. */
  private boolean put(Run run, End end, long now) {
    removeOld(now);
    End known = ends.get(run);
    boolean news =
        known == null
            || end.replaced && !known.replaced
            || end.foundAt - known.foundAt > TRANSIT_MILLIS * Clock.NANOS_PER_MILLI;
    if (!news || known == null && ends.size() >= MAX_RUNS) {
      return false;
    }
    ends.put(run, end);
    return true;
  }

  private void removeOld(long now) {
    // Kept for longer than they are sent, so that no router learns of the same end twice.
    ends.values().removeIf(e -> now - e.foundAt >= 2 * MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI);
  }

  /**
   * Returns the ends found out recently by any router, the newest first.
   *
   * @param now the current time in nanoseconds
   */
  public List<EndedServer> recent(long now) {
    removeOld(now);
    List<EndedServer> found = new ArrayList<>();
    ends.forEach(
        (run, end) -> {
          long age = now - end.foundAt;
          if (age < MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
            found.add(new EndedServer(run.id, run.startedAt, end.replaced, age));
          }
        });
    found.sort(Comparator.comparingLong(EndedServer::ageNanos));
    return found;
  }

  /** Returns the number of ends that this router has found out itself. */
  public long changeCount() {
    return changeCount;
  }
}
