package org.wigeonwharf.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/**
 * Collects the recent ends of backend servers and the proofs that prompt parts are harmless.
 *
 * <p>A part scores for each server that ended with it since it was last proven harmless. Not
 * thread-safe.
 */
final class CrashEvidence {
  /** Score of a part for the end of a server that was writing an answer to it. */
  static final int ANSWERING_SCORE = 2;

  /** Score of a part for the end of a server at which it waited. */
  static final int WAITING_SCORE = 1;

  /** Time in ms for which ends and proofs count. */
  static final long MAX_AGE_MILLIS = 10 * 60_000;

  /** Time in ms within which ends count as simultaneous. */
  private static final long SIMULTANEOUS_MILLIS = 75;

  /** Time in ms by which the age of a proof may grow on its way through several routers. */
  private static final long TRANSIT_MILLIS = 100;

  private static final int MAX_ENDS = 64;

  /** Maximum number of parts of an end: those of the requests that one server answers. */
  private static final int MAX_ANSWERING_PARTS = 384;

  private static final int MAX_WAITING_PARTS = 64;
  private static final int MAX_PROOFS = 8_192;

  private final Map<String, Entry> ends = new LinkedHashMap<>();
  private final Map<String, Long> provenAt = new LinkedHashMap<>();

  /** Holds one end; several routers may add the requests that they lost. */
  static final class Entry {
    private final String server;
    private final long startedAt;
    private final long endedAt;
    private final Set<String> answering = new HashSet<>();
    private final Set<String> waiting = new HashSet<>();
    private @Nullable String explanation;

    private Entry(ServerEnd end, long endedAt) {
      this.server = end.server();
      this.startedAt = end.startedAt();
      this.endedAt = endedAt;
    }

    long endedAt() {
      return endedAt;
    }

    ServerEnd toServerEnd() {
      return new ServerEnd(server, startedAt, answering, waiting, Set.of());
    }

    private boolean add(ServerEnd end) {
      boolean changed = addSome(answering, end.answering(), MAX_ANSWERING_PARTS);
      return addSome(waiting, end.waiting(), MAX_WAITING_PARTS) || changed;
    }

    private static boolean addSome(Set<String> known, Collection<String> parts, int maxParts) {
      boolean changed = false;
      for (String part : parts) {
        changed |= known.size() < maxParts && known.add(part);
      }
      return changed;
    }

    private Set<String> parts() {
      Set<String> parts = new HashSet<>(answering);
      parts.addAll(waiting);
      return parts;
    }
  }

  /**
   * Adds an end, or further parts of a known one.
   *
   * @param end the end
   * @param endedAt when it ended, in nanoseconds
   * @return true if it adds to what is known
   */
  boolean add(ServerEnd end, long endedAt) {
    String key = end.server() + '/' + end.startedAt();
    Entry entry = ends.get(key);
    if (entry == null) {
      entry = new Entry(end, endedAt);
      removeOldest(ends, MAX_ENDS - 1);
      ends.put(key, entry);
    }
    return entry.add(end);
  }

  /**
   * Records that a part was answered without harm.
   *
   * @param part the part's id
   * @param at when that was, in nanoseconds
   * @return true if this is later than any earlier proof, by more than messages take
   */
  boolean prove(String part, long at) {
    Long before = provenAt.get(part);
    if (before != null && at - before <= TRANSIT_MILLIS * Clock.NANOS_PER_MILLI) {
      return false;
    }
    provenAt.remove(part);
    removeOldest(provenAt, MAX_PROOFS - 1);
    provenAt.put(part, at);
    return true;
  }

  private static void removeOldest(Map<String, ?> map, int maxSize) {
    Iterator<String> oldest = map.keySet().iterator();
    while (map.size() > maxSize && oldest.hasNext()) {
      oldest.next();
      oldest.remove();
    }
  }

  void removeExpired(long now) {
    long oldest = now - MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
    ends.values().removeIf(e -> e.endedAt - oldest < 0);
    provenAt.values().removeIf(at -> at - oldest < 0);
  }

  boolean isEmpty() {
    return ends.isEmpty();
  }

  /** Returns when a part was last proven harmless, in nanoseconds, or null if it never was. */
  @Nullable Long provenAt(String part) {
    return provenAt.get(part);
  }

  /** Returns the ends, oldest first. */
  List<Entry> ends() {
    return List.copyOf(ends.values());
  }

  /** Returns the proofs by part, oldest first. */
  Map<String, Long> proofs() {
    return provenAt;
  }

  /** Tells whether a server ended with a part since that was last proven harmless. */
  boolean hasUnprovenEnd(String part) {
    Long proven = provenAt.get(part);
    return ends.values().stream()
        .anyMatch(
            e ->
                (proven == null || e.endedAt - proven > 0)
                    && (e.answering.contains(part) || e.waiting.contains(part)));
  }

  /** Returns the parts that were lost with any of the ended servers. */
  Set<String> suspects() {
    Set<String> parts = new HashSet<>();
    ends.values().forEach(e -> parts.addAll(e.parts()));
    return parts;
  }

  /**
   * Attributes ends to parts that are known to crash servers, so that they no longer count.
   *
   * @param crashing tells whether a part is known to crash servers
   */
  void explainEnds(Predicate<String> crashing) {
    for (Entry e : ends.values()) {
      if (e.explanation == null) {
        e.explanation = e.parts().stream().filter(crashing).findFirst().orElse(null);
      }
    }
  }

  /** Lets the ends that were attributed to a part count again. */
  void reconsider(String part) {
    ends.values().stream()
        .filter(e -> part.equals(e.explanation))
        .forEach(e -> e.explanation = null);
  }

  /** Scores all parts by the ends without an explanation. */
  Map<String, Score> scores() {
    return scoresOfEnds(e -> e.explanation == null);
  }

  /** Scores one part by all ends. */
  int scoreOf(String part) {
    Score score = scoresOfEnds(e -> e.parts().contains(part)).get(part);
    return score == null ? 0 : score.total();
  }

  /**
   * Scores parts by the ends since the part was last proven harmless. Ends at nearly the same time
   * count once, since they have a common cause.
   */
  private Map<String, Score> scoresOfEnds(Predicate<Entry> counted) {
    List<Entry> inOrder = new ArrayList<>(ends.values().stream().filter(counted).toList());
    inOrder.sort(Comparator.comparingLong(e -> e.endedAt));
    Map<String, Score> scores = new HashMap<>();
    int group = 0;
    long groupAt = inOrder.isEmpty() ? 0 : inOrder.get(0).endedAt;
    for (Entry e : inOrder) {
      if (!isSimultaneous(e.endedAt, groupAt)) {
        group++;
        groupAt = e.endedAt;
      }
      for (String part : e.parts()) {
        Long proven = provenAt.get(part);
        if (proven == null || e.endedAt - proven > 0) {
          scores.computeIfAbsent(part, k -> new Score()).add(e, part, group);
        }
      }
    }
    return scores;
  }

  private static boolean isSimultaneous(long endedAt, long before) {
    return endedAt - before < SIMULTANEOUS_MILLIS * Clock.NANOS_PER_MILLI;
  }

  /** Accumulates the score of one part. */
  static final class Score {
    private final List<String> servers = new ArrayList<>();
    private final List<Integer> groups = new ArrayList<>();
    private int total;
    private int lastPoints;
    private long lastAt;

    private void add(Entry e, String part, int group) {
      int points = e.answering.contains(part) ? ANSWERING_SCORE : WAITING_SCORE;
      boolean simultaneous = !servers.isEmpty() && isSimultaneous(e.endedAt, lastAt);
      if (simultaneous) {
        total += Math.max(0, points - lastPoints);
        lastPoints = Math.max(points, lastPoints);
      } else {
        total += points;
        lastPoints = points;
        lastAt = e.endedAt;
      }
      servers.add(e.server);
      if (groups.isEmpty() || groups.get(groups.size() - 1) != group) {
        groups.add(group);
      }
    }

    /**
     * Tells whether the part was lost with almost all servers that ended in some span.
     *
     * @param count minimum number of ends with the part
     * @param span maximum number of successive ends, simultaneous ones counted once, that hold them
     */
    boolean hasDenseEnds(int count, int span) {
      for (int i = count - 1; i < groups.size(); i++) {
        if (groups.get(i) - groups.get(i - count + 1) < span) {
          return true;
        }
      }
      return false;
    }

    int total() {
      return total;
    }

    /** Returns the servers that ended. */
    List<String> servers() {
      return servers;
    }
  }
}
