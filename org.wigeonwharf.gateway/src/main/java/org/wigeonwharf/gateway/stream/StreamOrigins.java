package org.wigeonwharf.gateway.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/**
 * Remembers which software version began each stream, from the streams that this router and its
 * peers have forwarded.
 *
 * <p>All streams are advertised to peers as they begin, also while their service has one software
 * version: a router may stop before it learns of another. A stream that was continued at another
 * service has an origin for each service. The number of streams and the time for which they are
 * kept are bounded. Not thread-safe.
 */
public final class StreamOrigins {
  /** Maximum number of streams that are kept. */
  static final int MAX_STREAMS = 20_000;

  /** Time in ms for which a stream is kept after it was begun or resumed. */
  static final long MAX_AGE_MILLIS = 60_000;

  /** Maximum length of an id that is kept, since callers choose ids freely. */
  static final int MAX_ID_LENGTH = 100;

  /** Maximum length of the name of a service and of a software version. */
  private static final int MAX_NAME_LENGTH = 200;

  /** Age in ms of the streams that a router which has just started still learns of. */
  private static final long REPLIED_AGE_MILLIS = 30_000;

  /**
   * Age in ms from which a peer's stream is not forwarded to other failure domains, since they have
   * learned of it before.
   */
  private static final long MAX_FORWARDED_AGE_MILLIS = 2_000;

  private final Map<String, Stream> streams = new LinkedHashMap<>();
  private final AdvertisedOrigins toDomain = new AdvertisedOrigins();
  private final AdvertisedOrigins toOtherDomains = new AdvertisedOrigins();

  /** Holds the software version of each service that wrote events of one stream. */
  private static final class Stream {
    private final Map<String, String> versions = new HashMap<>(2);
    private boolean own;
    private long recordedAt;
  }

  /**
   * Records that a stream of this router's callers was begun or resumed. Ids that are too long are
   * not recorded.
   *
   * @param requestId id of the caller's attempt that received the first event
   * @param service the name of the service
   * @param softwareVersion the software version of the server that wrote the events
   * @param now the current time in nanoseconds
   */
  public void record(String requestId, String service, String softwareVersion, long now) {
    if (put(requestId, service, softwareVersion, true, now, now)) {
      StreamOrigin origin = new StreamOrigin(requestId, service, softwareVersion, 0);
      toDomain.add(origin, now);
      toOtherDomains.add(origin, now);
    }
  }

  /**
   * Merges streams of a peer. Those of a peer of the same failure domain are advertised to the
   * other failure domains.
   *
   * @param origins the streams
   * @param sameDomain true if the peer is in the same failure domain
   * @param now the current time in nanoseconds
   */
  public void merge(Collection<StreamOrigin> origins, boolean sameDomain, long now) {
    for (StreamOrigin o : origins) {
      long recordedAt = now - Math.max(0, o.ageNanos());
      boolean known = o.softwareVersion().equals(find(o.requestId(), o.service(), now));
      boolean merged =
          now - recordedAt <= MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI
              && put(o.requestId(), o.service(), o.softwareVersion(), false, recordedAt, now);
      // A peer names each stream in two messages, which is no news the second time.
      boolean isNews = merged && !known && sameDomain;
      if (isNews && o.ageNanos() < MAX_FORWARDED_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
        toOtherDomains.add(o, now);
      }
    }
  }

  private boolean put(
      String id, String service, String version, boolean own, long recordedAt, long now) {
    if (!isKept(id, service, version)) {
      return false;
    }
    Stream known = streams.remove(id);
    Stream s = known == null ? new Stream() : known;
    s.recordedAt = known == null ? recordedAt : later(known.recordedAt, recordedAt);
    s.own |= own;
    s.versions.put(service, version);
    streams.put(id, s);
    Iterator<Stream> oldest = streams.values().iterator();
    while (oldest.hasNext() && (isExpired(oldest.next(), now) || streams.size() > MAX_STREAMS)) {
      oldest.remove();
    }
    return true;
  }

  private static boolean isKept(String id, String service, String version) {
    return !id.isEmpty()
        && id.length() <= MAX_ID_LENGTH
        && service.length() <= MAX_NAME_LENGTH
        && version.length() <= MAX_NAME_LENGTH;
  }

  /**
   * Tells whether a stream is short enough in all its names to be kept and passed on.
   *
   * @param origin the stream
   */
  public static boolean isKept(StreamOrigin origin) {
    return isKept(origin.requestId(), origin.service(), origin.softwareVersion());
  }

  private static long later(long a, long b) {
    return a - b > 0 ? a : b;
  }

  /**
   * Finds the software version that wrote the events of a stream.
   *
   * @param requestId id of the caller's attempt that received the first event
   * @param service the name of the service
   * @param now the current time in nanoseconds
   * @return the software version, or null if no server of the service is known to have written any
   */
  public @Nullable String find(String requestId, String service, long now) {
    Stream s = findStream(requestId, now);
    return s == null ? null : s.versions.get(service);
  }

  /**
   * Tells whether a stream is known, whichever service wrote its events.
   *
   * @param requestId id of the caller's attempt that received the first event
   * @param now the current time in nanoseconds
   */
  public boolean knows(String requestId, long now) {
    return findStream(requestId, now) != null;
  }

  private @Nullable Stream findStream(String requestId, long now) {
    Stream s = streams.get(requestId);
    return s == null || isExpired(s, now) ? null : s;
  }

  private static boolean isExpired(Stream s, long now) {
    return now - s.recordedAt > MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
  }

  /**
   * Returns the number of streams that are kept.
   *
   * @param now the current time in nanoseconds
   */
  public int size(long now) {
    streams.values().removeIf(s -> isExpired(s, now));
    return streams.size();
  }

  /**
   * Returns the next streams to be advertised to the routers of the same failure domain: those that
   * this router's callers have begun or resumed. Each is returned for two messages.
   *
   * @param maxChars maximum length of all ids together
   * @param now the current time in nanoseconds
   */
  public List<StreamOrigin> nextForDomain(int maxChars, long now) {
    return toDomain.next(maxChars, now);
  }

  /**
   * Returns the next streams to be advertised to other failure domains: those of all routers of
   * this one. Each is returned for two messages.
   *
   * @param maxChars maximum length of all ids together
   * @param now the current time in nanoseconds
   */
  public List<StreamOrigin> nextForOtherDomains(int maxChars, long now) {
    return toOtherDomains.next(maxChars, now);
  }

  /**
   * Returns the streams that were begun or resumed lately, for a router that has just started.
   *
   * @param ownOnly true to leave out those that only peers have forwarded
   * @param limit maximum number of streams; the latest are returned
   * @param now the current time in nanoseconds
   */
  public List<StreamOrigin> latest(boolean ownOnly, int limit, long now) {
    List<StreamOrigin> found = new ArrayList<>();
    streams.forEach(
        (id, s) -> {
          long age = now - s.recordedAt;
          if ((s.own || !ownOnly) && age <= REPLIED_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
            s.versions.forEach((sv, version) -> found.add(new StreamOrigin(id, sv, version, age)));
          }
        });
    return found.subList(Math.max(0, found.size() - limit), found.size());
  }
}
