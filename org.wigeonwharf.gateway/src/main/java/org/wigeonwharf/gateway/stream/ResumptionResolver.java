package org.wigeonwharf.gateway.stream;

import java.time.InstantSource;
import java.util.Set;
import org.wigeonwharf.model.Clock;

/**
 * Finds out which software version a stream has to continue at when its caller resumes it.
 *
 * <p>The streams that routers have forwarded are known by the id of the request. The version of any
 * other stream is known only if no other version has served since it can have begun, and the store
 * confirms that this router knows all. Not thread-safe.
 */
public final class ResumptionResolver {
  /** Maximum difference in ms between the wall clocks of servers and routers. */
  static final long MAX_CLOCK_DIFFERENCE_MILLIS = 10_000;

  private final StreamOrigins origins;
  private final VersionHistory history;
  private final ServerListCheck serverList;
  private final Runnable removalsNeeded;
  private final Clock clock;
  private final InstantSource wallClock;

  /**
   * Creates a resolver.
   *
   * @param origins the streams that routers have forwarded
   * @param history the software versions that have served
   * @param serverList tells whether this router knows all versions that can have begun a stream
   * @param removalsNeeded called if a stream may only be continued once the servers are known that
   *     left before this router started
   * @param clock monotonic clock
   * @param wallClock wall clock, to be compared with the servers' start times
   */
  public ResumptionResolver(
      StreamOrigins origins,
      VersionHistory history,
      ServerListCheck serverList,
      Runnable removalsNeeded,
      Clock clock,
      InstantSource wallClock) {
    this.origins = origins;
    this.history = history;
    this.serverList = serverList;
    this.removalsNeeded = removalsNeeded;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /**
   * Finds the software version of a stream.
   *
   * @param resumption the caller's request
   * @return the version and how it is known
   */
  public Resolution resolve(StreamResumption resumption) {
    long now = clock.nanos();
    String id = resumption.resumedRequestId();
    if (id != null) {
      String version = origins.find(id, resumption.service(), now);
      if (version != null) {
        return new Resolution(Resolution.Source.MEMORY, version);
      }
      if (origins.knows(id, now)) {
        return new Resolution(Resolution.Source.OTHER_SERVICE, null);
      }
    }
    return resolveByHistory(resumption, now);
  }

  private Resolution resolveByHistory(StreamResumption resumption, long now) {
    long earliestBegin = now - resumption.maxAgeNanos();
    Set<String> versions = history.servedSince(resumption.service(), earliestBegin);
    if (versions.size() != 1) {
      return new Resolution(Resolution.Source.SEVERAL_VERSIONS, null);
    }
    boolean confirmed = serverList.isCompleteUntil(resumption.arrivedAt());
    if (!confirmed) {
      serverList.request(resumption.arrivedAt());
    }
    boolean complete =
        history.remembers(earliestBegin)
            && (history.covers(earliestBegin) || isCoveredByStartTimes(resumption, earliestBegin));
    if (!complete) {
      return new Resolution(Resolution.Source.INCOMPLETE_HISTORY, null);
    }
    return confirmed
        ? new Resolution(Resolution.Source.HISTORY, versions.iterator().next())
        : new Resolution(Resolution.Source.UNCONFIRMED, null);
  }

  /**
   * Tells whether all servers run since before the stream can have begun and none has left since
   * then.
   */
  private boolean isCoveredByStartTimes(StreamResumption resumption, long earliestBegin) {
    long ageMillis = resumption.maxAgeNanos() / Clock.NANOS_PER_MILLI + MAX_CLOCK_DIFFERENCE_MILLIS;
    boolean oldEnough =
        history.isWatching()
            && history.allStartedBefore(resumption.service(), wallClock.millis() - ageMillis);
    boolean removalsKnown = history.knowsRemovalsSince(earliestBegin);
    if (oldEnough && !removalsKnown) {
      removalsNeeded.run();
    }
    return oldEnough && removalsKnown;
  }
}
