package org.wigeonwharf.gateway.evacuation;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.FailureDomain;

/**
 * Holds the failure domains that operators have evacuated, as read from the store or stated by
 * peers.
 *
 * <p>For each failure domain the newest position of an era wins, in whatever order changes arrive.
 * A peer's statement counts only if it is newer than what this router has read itself, so that a
 * peer without contact to the store can't bring back what was removed. Not thread-safe.
 */
public final class Evacuations {
  /** Maximum number of statements advertised to peers, so that they fit in one message. */
  static final int MAX_ADVERTISED = 32;

  /** Maximum number of failure domains that peers may add to those read from the store. */
  private static final int MAX_DOMAINS_WITH_PEERS = 256;

  /** Maximum length of a failure domain's name that a peer may state, that of the store's keys. */
  private static final int MAX_NAME_LENGTH = 200;

  /** Time for which an evacuation stays in force that a restored store does not list. */
  private static final Duration RESTORED_GRACE = Duration.ofSeconds(60);

  private static final Comparator<Evacuation> NEWEST_FIRST =
      Comparator.comparing(Evacuation::position).reversed();

  private static final Logger LOG = LoggerFactory.getLogger(Evacuations.class);

  private final Map<FailureDomain, Evacuation> newest = new HashMap<>();
  private final Map<FailureDomain, Long> missingUntil = new HashMap<>();
  private StorePosition readPosition = StorePosition.NONE;
  private long changeCount;

  /**
   * Applies a change that was read from the store.
   *
   * @param change the change
   */
  public void apply(Evacuation change) {
    take(change, "store");
  }

  /**
   * Applies a complete read of the store: failure domains that it does not list are not evacuated.
   *
   * @param listed all evacuations in the store
   * @param position the store's position up to which the read is complete
   */
  public void replaceAll(Collection<Evacuation> listed, StorePosition position) {
    Set<FailureDomain> present = new HashSet<>();
    for (Evacuation e : listed) {
      present.add(e.domain());
      take(e, "store");
    }
    for (Evacuation known : List.copyOf(newest.values())) {
      boolean missing = known.active() && !present.contains(known.domain());
      if (missing && !missingUntil.containsKey(known.domain())) {
        take(new Evacuation(known.domain(), false, position), "store");
      }
    }
    recordRead(position);
  }

  /**
   * Applies a complete read of a store that was restored from an earlier copy. An evacuation that
   * it does not list stays in force for a grace period, and one that it lists though it has ended
   * stays ended, until either is written again.
   *
   * @param listed all evacuations in the store
   * @param position the store's position up to which the read is complete
   * @param now the current time in nanoseconds
   */
  public void restore(Collection<Evacuation> listed, StorePosition position, long now) {
    Set<FailureDomain> present = new HashSet<>();
    for (Evacuation e : listed) {
      present.add(e.domain());
      Evacuation known = newest.get(e.domain());
      if (known == null) {
        take(e, "store");
      } else {
        newest.put(e.domain(), new Evacuation(e.domain(), known.active(), e.position()));
        missingUntil.remove(e.domain());
      }
    }
    for (Evacuation known : List.copyOf(newest.values())) {
      if (!present.contains(known.domain())) {
        newest.put(known.domain(), new Evacuation(known.domain(), known.active(), position));
        if (known.active()) {
          missingUntil.put(known.domain(), now + RESTORED_GRACE.toNanos());
        }
      }
    }
    readPosition = position;
  }

  /** Tells whether an evacuation is in force that the store does not list. */
  public boolean hasMissing() {
    return !missingUntil.isEmpty();
  }

  /**
   * Ends the evacuations that were not written again within the grace period.
   *
   * @param now the current time in nanoseconds
   */
  public void expireMissing(long now) {
    for (Map.Entry<FailureDomain, Long> e : Map.copyOf(missingUntil).entrySet()) {
      if (now - e.getValue() >= 0) {
        set(new Evacuation(e.getKey(), false, readPosition), "grace period");
      }
    }
  }

  /**
   * Records that all changes up to a position were applied.
   *
   * @param position the store's position
   */
  public void recordRead(StorePosition position) {
    readPosition = StorePosition.max(readPosition, position);
  }

  /**
   * Applies what a peer states. Statements that this router knows better are ignored, and those of
   * another era, since a later one begins with what an earlier copy holds.
   *
   * @param stated the peer's statements
   */
  public void merge(Collection<Evacuation> stated) {
    for (Evacuation e : stated) {
      boolean fits = newest.containsKey(e.domain()) || newest.size() < MAX_DOMAINS_WITH_PEERS;
      boolean sameEra =
          readPosition.equals(StorePosition.NONE) || e.position().isSameEra(readPosition);
      if (sameEra
          && e.position().isAfter(readPosition)
          && fits
          && e.domain().value().length() <= MAX_NAME_LENGTH) {
        take(e, "peer");
      }
    }
  }

  private void take(Evacuation next, String source) {
    Evacuation known = newest.get(next.domain());
    if (known == null || next.position().isAfter(known.position())) {
      set(next, source);
    }
  }

  private void set(Evacuation next, String source) {
    Evacuation known = newest.put(next.domain(), next);
    missingUntil.remove(next.domain());
    if (next.active() != isActive(known)) {
      changeCount++;
      LOG.atWarn()
          .addKeyValue("event", next.active() ? "domain.evacuated" : "domain.restored")
          .addKeyValue("failure_domain", next.domain().value())
          .addKeyValue("era", next.position().era())
          .addKeyValue("revision", next.position().revision())
          .addKeyValue("source", source)
          .log(
              next.active()
                  ? "the servers of a failure domain receive no more requests"
                  : "the servers of a failure domain may receive requests again");
    }
    removeOldest();
  }

  private static boolean isActive(@Nullable Evacuation e) {
    return e != null && e.active();
  }

  /** Forgets the oldest removals, of which only a peer that is long out of contact has not read. */
  private void removeOldest() {
    List<Evacuation> ended =
        newest.values().stream().filter(e -> !e.active()).sorted(NEWEST_FIRST).toList();
    ended.stream().skip(MAX_ADVERTISED).forEach(e -> newest.remove(e.domain()));
  }

  /**
   * Tells whether the servers of a failure domain must receive no requests.
   *
   * @param domain the failure domain
   */
  public boolean isEvacuated(FailureDomain domain) {
    return isActive(newest.get(domain));
  }

  /** Returns the evacuations in force, in the order of the failure domains' names. */
  public List<Evacuation> active() {
    return newest.values().stream()
        .filter(Evacuation::active)
        .sorted(Comparator.comparing(Evacuation::domain))
        .toList();
  }

  /**
   * Returns the newest evacuations and ends of evacuations, to be advertised to peers. Those that
   * the store does not list are left out: each router keeps them for its own grace period.
   */
  public List<Evacuation> advertised() {
    if (newest.isEmpty()) {
      return List.of();
    }
    return newest.values().stream()
        .filter(e -> !missingUntil.containsKey(e.domain()))
        .sorted(NEWEST_FIRST)
        .limit(MAX_ADVERTISED)
        .toList();
  }

  /** Returns the number of times that a failure domain was evacuated or restored. */
  public long changeCount() {
    return changeCount;
  }
}
