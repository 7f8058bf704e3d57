package org.wigeonwharf.gateway.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.model.Clock;

/**
 * Remembers until when servers of each software version have served each service.
 *
 * <p>A server that has left counts as serving for some time after its entry was removed, because it
 * completes its streams and other routers learn of its removal later. Not thread-safe.
 */
public final class VersionHistory implements ServerDirectory.Listener {
  /** Time in ms for which a server counts as serving after the removal of its entry. */
  static final long SERVES_AFTER_REMOVAL_MILLIS = 10_000;

  /** Time in ms after which versions that have served no more are forgotten. */
  static final long MAX_AGE_MILLIS = 150_000;

  /** Time in ms for which a service counts as having several versions after one has left. */
  private static final long SEVERAL_VERSIONS_MILLIS = 30_000;

  /** Maximum length of the name of a service and of a software version that a peer tells. */
  private static final int MAX_NAME = 200;

  private final Clock clock;
  private final Map<String, Map<String, Presence>> services = new HashMap<>();
  private boolean watching;
  private long watchedSince;
  private boolean removalsKnown;
  private long removalsKnownSince;
  private boolean reportedByPeer;
  private long reportedAt;

  /** Holds the known servers of one version, and until when it serves if there are none. */
  private static final class Presence {
    private final Map<String, Long> startTimes = new HashMap<>();
    private boolean servedBefore;
    private long servedUntil;

    void extend(long until) {
      servedUntil = servedBefore && servedUntil - until > 0 ? servedUntil : until;
      servedBefore = true;
    }

    /** Tells whether servers of the version may have served at a time or later. */
    boolean servedSince(long time) {
      return !startTimes.isEmpty() || (servedBefore && servedUntil - time >= 0);
    }
  }

  /**
   * States when a software version last served a service.
   *
   * @param service the name of the service
   * @param softwareVersion the software version
   * @param ageNanos time in nanoseconds since its servers last served; negative for the time for
   *     which they may still serve
   */
  public record Served(String service, String softwareVersion, long ageNanos) {}

  /**
   * Creates a history without servers.
   *
   * @param clock monotonic clock
   */
  public VersionHistory(Clock clock) {
    this.clock = clock;
  }

  /** Records that all published servers are known from now on. Has no effect if called again. */
  public void startWatching() {
    if (!watching) {
      watching = true;
      long now = clock.nanos();
      // The versions in the report of the peer count as serving until now.
      boolean joinsPeers =
          reportedByPeer && now - reportedAt <= SERVES_AFTER_REMOVAL_MILLIS * Clock.NANOS_PER_MILLI;
      watchedSince = joinsPeers ? watchedSince : now;
    }
  }

  @Override
  public void onPublished(BackendServer server) {
    presence(server.service(), server.softwareVersion())
        .startTimes
        .put(server.id(), server.startedAt());
  }

  @Override
  public void onRemoved(BackendServer server) {
    Presence p = presence(server.service(), server.softwareVersion());
    p.startTimes.remove(server.id());
    p.extend(clock.nanos() + SERVES_AFTER_REMOVAL_MILLIS * Clock.NANOS_PER_MILLI);
  }

  /** Records that servers may have been published and removed again without being known. */
  public void recordMissedChanges() {
    if (watching) {
      watchedSince = clock.nanos();
      removalsKnown = false;
    }
  }

  /**
   * Records the servers whose entries were removed before this router watched. They count as if
   * they had been removed now.
   *
   * @param removed the last entry of each of them
   * @param ageNanos time in nanoseconds before now within which all removals are known
   */
  public void recordRemoved(Collection<BackendServer> removed, long ageNanos) {
    long now = clock.nanos();
    for (BackendServer s : removed) {
      presence(s.service(), s.softwareVersion())
          .extend(now + SERVES_AFTER_REMOVAL_MILLIS * Clock.NANOS_PER_MILLI);
    }
    long since = now - ageNanos;
    removalsKnownSince =
        removalsKnown && removalsKnownSince - since < 0 ? removalsKnownSince : since;
    removalsKnown = true;
  }

  /** Tells whether all servers are known that were removed since a time in nanoseconds. */
  boolean knowsRemovalsSince(long time) {
    return watching && removalsKnown && removalsKnownSince - time <= 0;
  }

  private Presence presence(String service, String softwareVersion) {
    return services
        .computeIfAbsent(service, s -> new HashMap<>())
        .computeIfAbsent(softwareVersion, v -> new Presence());
  }

  /** Tells whether all published servers have been read. */
  boolean isWatching() {
    return watching;
  }

  /** Tells whether no version is forgotten that served at the given time in nanoseconds. */
  boolean remembers(long time) {
    return clock.nanos() - time <= MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
  }

  /** Tells whether the history covers the time since the given one, in nanoseconds. */
  boolean covers(long time) {
    return watching && watchedSince - time <= 0;
  }

  /**
   * Returns the software versions that may have served a service at a time or later.
   *
   * @param service the name of the service
   * @param time the time in nanoseconds
   * @return the versions that are known; all of them if the history covers that time
   */
  Set<String> servedSince(String service, long time) {
    Set<String> found = new HashSet<>();
    services
        .getOrDefault(service, Map.of())
        .forEach(
            (version, p) -> {
              if (p.servedSince(time)) {
                found.add(version);
              }
            });
    return found;
  }

  /**
   * Tells whether all known servers of a service have published a start time before the given one.
   *
   * @param service the name of the service
   * @param unixMillis the time in Unix milliseconds
   * @return false if no server is known
   */
  boolean allStartedBefore(String service, long unixMillis) {
    List<Long> startTimes = new ArrayList<>();
    services
        .getOrDefault(service, Map.of())
        .values()
        .forEach(p -> startTimes.addAll(p.startTimes.values()));
    return !startTimes.isEmpty() && startTimes.stream().allMatch(t -> t > 0 && t < unixMillis);
  }

  /**
   * Tells whether servers of several software versions serve a service, or did so a short time ago.
   *
   * @param service the name of the service
   */
  public boolean hasSeveralVersions(String service) {
    long since = clock.nanos() - SEVERAL_VERSIONS_MILLIS * Clock.NANOS_PER_MILLI;
    return servedSince(service, since).size() > 1;
  }

  /** Returns the number of services with several software versions. */
  public int countSeveralVersions() {
    return (int) services.keySet().stream().filter(this::hasSeveralVersions).count();
  }

  /** Returns the time in nanoseconds for which this history is complete; 0 before that. */
  public long watchedNanos() {
    return watching ? clock.nanos() - watchedSince : 0;
  }

  /**
   * Returns when each software version last served.
   *
   * @param severalOnly true for only the services with several versions
   */
  public List<Served> served(boolean severalOnly) {
    long now = clock.nanos();
    forget(now);
    List<Served> found = new ArrayList<>();
    forEachPresence(
        (served, p) -> {
          if (!severalOnly || hasSeveralVersions(served.service())) {
            long age =
                p.startTimes.isEmpty()
                    ? now - p.servedUntil
                    : -SERVES_AFTER_REMOVAL_MILLIS * Clock.NANOS_PER_MILLI;
            found.add(new Served(served.service(), served.softwareVersion(), age));
          }
        });
    return found;
  }

  private void forEachPresence(BiConsumer<Served, Presence> action) {
    services.forEach(
        (service, versions) ->
            versions.forEach((v, p) -> action.accept(new Served(service, v, 0), p)));
  }

  private void forget(long now) {
    long oldest = now - MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
    services.values().forEach(v -> v.values().removeIf(p -> !p.servedSince(oldest)));
    services.values().removeIf(Map::isEmpty);
  }

  /**
   * Merges the history of a peer. Names that are too long are ignored.
   *
   * @param served when each software version last served
   * @param watchedNanos time in nanoseconds for which the peer's history is complete; 0 if this is
   *     only a part of it
   */
  public void merge(Collection<Served> served, long watchedNanos) {
    long now = clock.nanos();
    long maxAge = MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
    for (Served s : served) {
      boolean isShort = Math.max(s.service().length(), s.softwareVersion().length()) <= MAX_NAME;
      if (isShort && s.ageNanos() <= maxAge) {
        presence(s.service(), s.softwareVersion()).extend(now - s.ageNanos());
      }
    }
    if (watchedNanos > 0) {
      long since = now - Math.min(watchedNanos, maxAge);
      // Two histories are one only if the later begins before the earlier ends.
      boolean joins = watching || (reportedByPeer && since - reportedAt <= 0);
      watchedSince = joins && watchedSince - since < 0 ? watchedSince : since;
      reportedByPeer = true;
      reportedAt = now;
    }
  }
}
