package org.wigeonwharf.gateway.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/**
 * Decides which prompt parts are kept from the backend servers because they crash them.
 *
 * <p>A part is quarantined if several servers ended in succession with it and it was not answered
 * in between, judged by the begin of its answers and by answers as a whole ({@link EvidenceKey}).
 * Requests that share a server, a caller or other parts with the cause are lost with it too, so the
 * part with the strongest evidence is quarantined first, and the ends that it explains no longer
 * count against others. A quarantine ends by itself; a part that crashes another server soon after
 * is quarantined again at once, for longer. Not thread-safe.
 */
public final class PromptQuarantine {
  /** Score at which a part is quarantined: four servers that were writing an answer to it. */
  private static final int MIN_SCORE = 4 * CrashEvidence.ANSWERING_SCORE;

  /**
   * Score at which a part is quarantined that was answered not long ago. Chance alone loses such a
   * part with some servers in succession while another one crashes them.
   */
  private static final int MIN_SCORE_IF_PROVEN = 6 * CrashEvidence.ANSWERING_SCORE;

  /** Score at which parts are quarantined that the evidence does not distinguish. */
  private static final int MIN_SCORE_OF_TIED = 5 * CrashEvidence.ANSWERING_SCORE;

  /**
   * Number of servers that ended while they wrote an answer, at any time of it, at which a part is
   * quarantined. Sound answers that last long are lost with several servers in succession, so
   * almost all servers that ended have to be among them.
   */
  private static final int MIN_ENDS_OF_WHOLE = 7;

  /** The same for a part that was answered not long ago. */
  private static final int MIN_ENDS_OF_WHOLE_IF_PROVEN = 14;

  /** Maximum number of ends without the part among those. */
  private static final int MAX_GAPS_OF_WHOLE = 1;

  /** Score at which a part is quarantined again. */
  private static final int MIN_SCORE_ON_PROBATION = CrashEvidence.ANSWERING_SCORE;

  /** Time in ms that the other routers have to contradict before a part is quarantined. */
  private static final long SETTLING_MILLIS = 250;

  /** Duration in ms of a part's first quarantine; it doubles with each further one. */
  private static final long FIRST_QUARANTINE_MILLIS = 5 * 60_000;

  private static final long MAX_QUARANTINE_MILLIS = 60 * 60_000;

  /**
   * Maximum time in ms by which a router extends a quarantine, so that after its end one router
   * sends the part first and the others learn the result.
   */
  private static final long MAX_EXTENSION_MILLIS = 10_000;

  /** Time in ms after a quarantine in which a single crash leads to the next. */
  private static final long PROBATION_MILLIS = 10 * 60_000;

  /** Time in ms after its begin in which earlier proofs of other routers end a quarantine. */
  private static final long OBJECTION_MILLIS = 5_000;

  private static final int MAX_QUARANTINED = 256;
  private static final int MAX_PROVEN = 8_192;

  /** Maximum age in ms of ends and proofs that are sent to other routers. */
  private static final long MAX_SHARED_AGE_MILLIS = 10_000;

  /** Limits of the shared state, which has to fit in a datagram. */
  private static final int MAX_SHARED_PARTS = 120;

  private static final int MAX_SHARED_PROOFS = 40;
  private static final int MAX_SHARED_QUARANTINED = 40;

  private final QuarantineLog log;
  private final RandomGenerator random;
  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<String, Long> locallyProvenAt = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, Quarantine> quarantines = new LinkedHashMap<>();
  private final Map<String, Long> eligibleSince = new HashMap<>();
  private final Set<String> suspects = new HashSet<>();
  private Runnable onChange = () -> {};
  private Runnable onQuarantine = () -> {};
  private long changeCount;
  private boolean evidenceChanged;
  private long nextExpiryAt;

  /** Holds the quarantine of one part, which lasts beyond its end as a probation. */
  private static final class Quarantine {
    private final long since;
    private final long until;
    private final long enforcedUntil;
    private final int strikes;

    private Quarantine(long since, long until, long enforcedUntil, int strikes) {
      this.since = since;
      this.until = until;
      this.enforcedUntil = enforcedUntil;
      this.strikes = strikes;
    }

    private boolean isEnforced(long now) {
      return enforcedUntil - now > 0;
    }
  }

  /** Holds the evidence against a part that may be quarantined. */
  private record Suspect(String part, CrashEvidence.Score score, boolean provenBefore) {
    private static final Comparator<Suspect> STRONGEST_FIRST =
        Comparator.comparing(Suspect::provenBefore).thenComparing(s -> -s.score.total());
  }

  /**
   * Tells that a request must not be sent.
   *
   * @param part the quarantined part
   * @param remainingMillis time in ms until the quarantine ends
   */
  public record Hit(String part, long remainingMillis) {}

  /**
   * Creates an instance without evidence.
   *
   * @param log records decisions
   * @param random spreads the ends of quarantines over the routers
   * @param now the current time in nanoseconds
   */
  public PromptQuarantine(QuarantineLog log, RandomGenerator random, long now) {
    this.log = log;
    this.random = random;
    this.nextExpiryAt = now;
  }

  /**
   * Sets the action that runs when there is something new to tell other routers.
   *
   * @param action runs on the thread of the change
   */
  public void onChange(Runnable action) {
    onChange = action;
  }

  /**
   * Sets the action that runs after a part was quarantined.
   *
   * @param action runs on the thread of the change
   */
  public void onQuarantine(Runnable action) {
    onQuarantine = action;
  }

  /**
   * Finds a quarantined part of a prompt.
   *
   * @param sharedParts the ids of its shared parts
   * @param now the current time in nanoseconds
   * @return the first quarantined part, or null if the prompt may be sent
   */
  public @Nullable Hit find(List<String> sharedParts, long now) {
    evaluate(now);
    return quarantines.isEmpty() ? null : findEnforced(sharedParts, now);
  }

  private @Nullable Hit findEnforced(List<String> sharedParts, long now) {
    for (String part : sharedParts) {
      for (String key : List.of(EvidenceKey.ofBegin(part), EvidenceKey.ofWhole(part))) {
        Quarantine q = quarantines.get(key);
        if (q != null && q.isEnforced(now)) {
          long remainingMillis = (q.enforcedUntil - now) / Clock.NANOS_PER_MILLI;
          return new Hit(EvidenceKey.partOf(key), remainingMillis);
        }
      }
    }
    return null;
  }

  /**
   * Records that a server ended while it had requests of this router.
   *
   * @param end the end, with the parts of this router's requests
   * @param endedAt when it ended, in nanoseconds
   * @param now the current time in nanoseconds
   */
  public void recordServerEnd(ServerEnd end, long endedAt, long now) {
    log.logServerEnd(end);
    if (addEnd(toKeys(end), endedAt, now)) {
      changed();
      evaluate(now);
    }
  }

  /** Replaces the parts of an end by the keys against which it counts. */
  private static ServerEnd toKeys(ServerEnd end) {
    Set<String> answering = new LinkedHashSet<>();
    for (String part : end.answering()) {
      answering.add(EvidenceKey.ofBegin(part));
      answering.add(EvidenceKey.ofWhole(part));
    }
    end.running().forEach(part -> answering.add(EvidenceKey.ofWhole(part)));
    Set<String> waiting = new LinkedHashSet<>();
    end.waiting().forEach(part -> waiting.add(EvidenceKey.ofBegin(part)));
    return new ServerEnd(end.server(), end.startedAt(), answering, waiting, Set.of());
  }

  private boolean addEnd(ServerEnd end, long endedAt, long now) {
    if (!evidence.add(end, endedAt)) {
      return false;
    }
    suspects.addAll(end.answering());
    suspects.addAll(end.waiting());
    objectFor(end.answering(), now);
    objectFor(end.waiting(), now);
    return true;
  }

  /** Tells the other routers which of the parts this router has seen answered recently. */
  private void objectFor(Set<String> parts, long now) {
    long oldest = now - CrashEvidence.MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
    for (String part : parts) {
      Long proven = locallyProvenAt.get(part);
      if (proven != null && proven - oldest > 0) {
        prove(part, proven, now);
      }
    }
  }

  /**
   * Records that a server has gone on to answer a prompt after the begin.
   *
   * @param sharedParts the ids of its shared parts
   * @param now the current time in nanoseconds
   */
  public void recordBegun(List<String> sharedParts, long now) {
    sharedParts.forEach(part -> recordProof(EvidenceKey.ofBegin(part), now));
  }

  /**
   * Records that a server has answered a prompt to the end without harm.
   *
   * @param sharedParts the ids of its shared parts
   * @param now the current time in nanoseconds
   */
  public void recordProven(List<String> sharedParts, long now) {
    recordBegun(sharedParts, now);
    sharedParts.forEach(part -> recordProof(EvidenceKey.ofWhole(part), now));
  }

  private void recordProof(String key, long now) {
    locallyProvenAt.put(key, now);
    if (locallyProvenAt.size() > MAX_PROVEN) {
      locallyProvenAt.remove(locallyProvenAt.keySet().iterator().next());
    }
    if (suspects.contains(key) || quarantines.containsKey(key)) {
      prove(key, now, now);
    }
  }

  private void prove(String part, long provenAt, long now) {
    boolean informative =
        quarantines.containsKey(part)
            || evidence.provenAt(part) == null
            || evidence.hasUnprovenEnd(part);
    if (informative && evidence.prove(part, provenAt)) {
      releaseIfRefuted(part, now);
      changed();
    }
  }

  private void changed() {
    evidenceChanged = true;
    changeCount++;
    onChange.run();
  }

  /** Returns the number of changes so far that other routers have to learn from this one. */
  public long changeCount() {
    return changeCount;
  }

  // Decisions.

  private boolean isEnforced(String part, long now) {
    Quarantine q = quarantines.get(part);
    return q != null && q.isEnforced(now);
  }

  private boolean isEnough(String part, CrashEvidence.Score score) {
    if (quarantines.containsKey(part)) {
      return score.total() >= MIN_SCORE_ON_PROBATION;
    }
    boolean provenBefore = evidence.provenAt(part) != null;
    if (EvidenceKey.isWhole(part)) {
      int ends = provenBefore ? MIN_ENDS_OF_WHOLE_IF_PROVEN : MIN_ENDS_OF_WHOLE;
      return score.hasDenseEnds(ends, ends + MAX_GAPS_OF_WHOLE);
    }
    return score.total() >= (provenBefore ? MIN_SCORE_IF_PROVEN : MIN_SCORE);
  }

  private void evaluate(long now) {
    if (now - nextExpiryAt >= 0) {
      nextExpiryAt = now + Clock.NANOS_PER_SECOND;
      expireQuarantines(now);
      evidence.removeExpired(now);
      suspects.clear();
      suspects.addAll(evidence.suspects());
    }
    if (!evidenceChanged && eligibleSince.isEmpty()) {
      return;
    }
    evidenceChanged = false;
    boolean again = true;
    while (again) {
      again = quarantineStrongest(now);
    }
  }

  private void expireQuarantines(long now) {
    long probation = PROBATION_MILLIS * Clock.NANOS_PER_MILLI;
    for (Map.Entry<String, Quarantine> e : List.copyOf(quarantines.entrySet())) {
      if (now - e.getValue().enforcedUntil > probation) {
        quarantines.remove(e.getKey());
        log.logReleased(e.getKey(), "no crash since its quarantine");
      }
    }
  }

  /**
   * Quarantines the part with the strongest evidence: of those with enough, one that was never
   * answered before one that was, then the one with the highest score. Does nothing while the other
   * routers may still object or several parts have the same evidence.
   *
   * @return true if a part was quarantined
   */
  private boolean quarantineStrongest(long now) {
    List<Suspect> eligible = new ArrayList<>();
    evidence.explainEnds(p -> isEnforced(p, now));
    evidence
        .scores()
        .forEach(
            (part, score) -> {
              if (isEnough(part, score)) {
                eligible.add(new Suspect(part, score, evidence.provenAt(part) != null));
              }
            });
    eligibleSince.keySet().retainAll(eligible.stream().map(Suspect::part).toList());
    eligible.forEach(s -> eligibleSince.putIfAbsent(s.part, now));
    if (eligible.isEmpty()) {
      return false;
    }
    eligible.sort(Suspect.STRONGEST_FIRST.thenComparing(Suspect::part));
    Suspect best = eligible.get(0);
    boolean tied =
        eligible.size() > 1 && Suspect.STRONGEST_FIRST.compare(best, eligible.get(1)) == 0;
    long settledAt =
        eligibleSince.getOrDefault(best.part, now) + SETTLING_MILLIS * Clock.NANOS_PER_MILLI;
    boolean settled = quarantines.containsKey(best.part) || now - settledAt >= 0;
    if (!settled || tied && best.score.total() < MIN_SCORE_OF_TIED) {
      return false;
    }
    quarantine(best, now);
    return true;
  }

  private void quarantine(Suspect suspect, long now) {
    String part = suspect.part;
    Quarantine before = quarantines.get(part);
    int strikes = before == null ? 1 : before.strikes + 1;
    long millis =
        Math.min(MAX_QUARANTINE_MILLIS, FIRST_QUARANTINE_MILLIS << Math.min(strikes - 1, 10));
    log.logQuarantined(
        part,
        suspect.score.total(),
        suspect.score.servers(),
        suspect.provenBefore,
        strikes,
        millis);
    enforce(part, now, now + millis * Clock.NANOS_PER_MILLI, strikes);
    changed();
    onQuarantine.run();
  }

  private void enforce(String part, long since, long until, int strikes) {
    long extension = random.nextLong(MAX_EXTENSION_MILLIS * Clock.NANOS_PER_MILLI);
    quarantines.remove(part);
    if (quarantines.size() >= MAX_QUARANTINED) {
      String oldest = quarantines.keySet().iterator().next();
      quarantines.remove(oldest);
      log.logReleased(oldest, "too many quarantined parts");
    }
    quarantines.put(part, new Quarantine(since, until, until + extension, strikes));
  }

  private void releaseIfRefuted(String part, long now) {
    Quarantine q = quarantines.get(part);
    if (q != null && isRefuted(part, q.since, now)) {
      quarantines.remove(part);
      evidence.reconsider(part);
      log.logReleased(part, "answered without harm");
    }
  }

  private boolean isRefuted(String part, long since, long now) {
    Long proven = evidence.provenAt(part);
    if (proven == null) {
      return false;
    }
    if (proven - since > 0) {
      return true;
    }
    boolean fresh = now - since < OBJECTION_MILLIS * Clock.NANOS_PER_MILLI;
    return fresh && evidence.scoreOf(part) < MIN_SCORE_IF_PROVEN;
  }

  // Exchange with other routers.

  /**
   * Returns what other routers have to know.
   *
   * @param now the current time in nanoseconds
   */
  public QuarantineState state(long now) {
    if (evidence.isEmpty() && quarantines.isEmpty()) {
      return QuarantineState.EMPTY;
    }
    return new QuarantineState(sharedEnds(now), sharedProofs(now), sharedQuarantined(now));
  }

  private List<QuarantineState.AgedEnd> sharedEnds(long now) {
    List<QuarantineState.AgedEnd> shared = new ArrayList<>();
    List<CrashEvidence.Entry> ends = evidence.ends();
    int parts = 0;
    for (int i = ends.size() - 1; i >= 0 && parts < MAX_SHARED_PARTS; i--) {
      long age = now - ends.get(i).endedAt();
      if (age <= MAX_SHARED_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
        ServerEnd end = ends.get(i).toServerEnd();
        parts += end.answering().size() + end.waiting().size();
        shared.add(new QuarantineState.AgedEnd(end, age));
      }
    }
    return shared;
  }

  private Map<String, Long> sharedProofs(long now) {
    Map<String, Long> shared = new HashMap<>();
    evidence
        .proofs()
        .forEach(
            (part, at) -> {
              boolean recent = now - at <= MAX_SHARED_AGE_MILLIS * Clock.NANOS_PER_MILLI;
              if (recent && suspects.contains(part) && shared.size() < MAX_SHARED_PROOFS) {
                shared.put(part, now - at);
              }
            });
    return shared;
  }

  private List<QuarantineState.QuarantinedPart> sharedQuarantined(long now) {
    return quarantines.entrySet().stream()
        .filter(e -> e.getValue().until - now > 0)
        .limit(MAX_SHARED_QUARANTINED)
        .map(
            e ->
                new QuarantineState.QuarantinedPart(
                    e.getKey(),
                    now - e.getValue().since,
                    e.getValue().until - now,
                    e.getValue().strikes))
        .toList();
  }

  /**
   * Merges the state of another router.
   *
   * @param state its state
   * @param now the current time in nanoseconds
   * @return true if it adds to what is known here
   */
  public boolean merge(QuarantineState state, long now) {
    boolean news = false;
    for (QuarantineState.AgedEnd e : state.ends()) {
      news |= addEnd(e.end(), now - e.ageNanos(), now);
    }
    for (Map.Entry<String, Long> e : state.proven().entrySet()) {
      if (evidence.prove(e.getKey(), now - e.getValue())) {
        news = true;
        releaseIfRefuted(e.getKey(), now);
      }
    }
    for (QuarantineState.QuarantinedPart p : state.quarantined()) {
      news |= adopt(p, now);
    }
    if (news) {
      evidenceChanged = true;
      evaluate(now);
    }
    return news;
  }

  private boolean adopt(QuarantineState.QuarantinedPart p, long now) {
    Quarantine known = quarantines.get(p.part());
    long since = now - p.ageNanos();
    boolean newer = known == null || p.strikes() > known.strikes;
    if (!newer || p.remainingNanos() <= 0 || isRefuted(p.part(), since, now)) {
      return false;
    }
    log.logAdopted(p.part(), p.strikes(), p.remainingNanos() / Clock.NANOS_PER_MILLI);
    enforce(p.part(), since, now + p.remainingNanos(), p.strikes());
    onQuarantine.run();
    return true;
  }

  /**
   * Returns the ids of the quarantined parts.
   *
   * @param now the current time in nanoseconds
   */
  public List<String> quarantined(long now) {
    return quarantines.entrySet().stream()
        .filter(e -> e.getValue().isEnforced(now))
        .map(e -> EvidenceKey.partOf(e.getKey()))
        .distinct()
        .toList();
  }
}
