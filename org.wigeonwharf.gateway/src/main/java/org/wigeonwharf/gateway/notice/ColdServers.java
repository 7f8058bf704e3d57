package org.wigeonwharf.gateway.notice;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.limit.DomainShares;
import org.wigeonwharf.gateway.route.ColdStart;
import org.wigeonwharf.gateway.store.StorePosition;
import org.wigeonwharf.model.Clock;

/**
 * Keeps the requests to cold servers within the rate that their service names, and lets the rate
 * rise for some seconds after the cold time.
 *
 * <p>A server states in its entry and in answers how much longer it stays cold, and may turn cold
 * again. The longest of its statements counts, since they may arrive out of order. An entry counts
 * from the moment at which its position is first read; reading it again changes nothing. In a new
 * era of the store it counts again, which can only lengthen the cold time.
 */
final class ColdServers implements ServerNotice {
  /** Longest cold time in ms; a server that names more would be lost for good. */
  private static final long MAX_COLD_MILLIS = 600_000;

  /** Minimum time in ms in which the load of a server rises after its cold time. */
  private static final long MIN_RAMP_MILLIS = 2_000;

  /**
   * Factor by which the rate has grown at the end of that time, after which it is unlimited. Held
   * requests would otherwise all be sent at the end of the cold time.
   */
  private static final double MAX_RAMP_FACTOR = 4;

  /** Time in ms for which the run of a server is remembered that is not published any more. */
  private static final long MEMORY_MILLIS = 600_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final DomainShares shares;
  private final Function<String, ColdStart> coldStarts;
  private final NoticeLog log;
  private final Map<ServerRun, Cold> cold = new HashMap<>();
  private @Nullable Long allWarmAt;

  /** Holds the cold time of one run of a server. */
  private static final class Cold {
    private final DomainShares.Share share;
    private long endsAt;
    private StorePosition position = StorePosition.NONE;

    private Cold(DomainShares.Share share, long now) {
      this.share = share;
      this.endsAt = now;
    }

    private boolean isOver(long now) {
      return now - endsAt >= 0;
    }
  }

  /**
   * Creates an instance that knows no cold server.
   *
   * @param shares divides the rates among the routers
   * @param coldStarts supplies what a service names for its cold servers
   * @param log records what servers state
   */
  ColdServers(DomainShares shares, Function<String, ColdStart> coldStarts, NoticeLog log) {
    this.shares = shares;
    this.coldStarts = coldStarts;
    this.log = log;
  }

  @Override
  public void recordAnswer(BackendServer server, ServerStatement statement, long now) {
    Long millis = statement.coldMillis();
    if (millis != null && millis > 0) {
      extend(server, cold.get(ServerRun.of(server)), millis, "answer", now);
    }
  }

  private void recordPublished(BackendServer server, long now) {
    Cold c = cold.get(ServerRun.of(server));
    if (server.coldMillis() <= 0 || c != null && !server.position().isAfter(c.position)) {
      return;
    }
    extend(server, c, server.coldMillis(), "entry", now).position = server.position();
  }

  private Cold extend(
      BackendServer server, @Nullable Cold known, long millis, String source, long now) {
    Cold c = known;
    if (c == null) {
      c = new Cold(shareOf(server.id(), now), now);
      cold.put(ServerRun.of(server), c);
    }
    ColdStart start = coldStarts.apply(server.service());
    if (c.isOver(now) && start.isLimited()) {
      double share = c.share.perSecond(start.perSecond());
      log.logCold(server.id(), millis, start.perSecond(), share, source);
    }
    long endsAt = now + Math.min(millis, MAX_COLD_MILLIS) * Clock.NANOS_PER_MILLI;
    c.endsAt = endsAt - c.endsAt > 0 ? endsAt : c.endsAt;
    long warmAt = c.endsAt + (long) (rampMillis(start) * Clock.NANOS_PER_MILLI);
    allWarmAt = allWarmAt == null || warmAt - allWarmAt > 0 ? warmAt : allWarmAt;
    return c;
  }

  /** Returns the share of an earlier run, if any, since its last requests were sent by it. */
  private DomainShares.Share shareOf(String id, long now) {
    for (Map.Entry<ServerRun, Cold> e : cold.entrySet()) {
      if (e.getKey().id().equals(id)) {
        return e.getValue().share;
      }
    }
    return shares.begin(id, now);
  }

  private static double rampMillis(ColdStart start) {
    return Math.max(MIN_RAMP_MILLIS, start.seconds() * MILLIS_PER_SECOND);
  }

  /** Returns whether all servers have been warm for some seconds. */
  boolean areAllWarm(long now) {
    Long warmAt = allWarmAt;
    return warmAt == null || now - warmAt >= 0;
  }

  private @Nullable Cold find(BackendServer server, long now) {
    return areAllWarm(now) ? null : cold.get(ServerRun.of(server));
  }

  /**
   * Returns the time until a request may be sent, at the latest when the server is warm or its load
   * has risen.
   */
  @Override
  public double waitMillis(BackendServer server, long now) {
    double coldness = coldness(server, now);
    Cold c = find(server, now);
    if (c == null || coldness == 0) {
      return 0;
    }
    ColdStart start = coldStarts.apply(server.service());
    double leftMillis = (c.endsAt - now) / (double) Clock.NANOS_PER_MILLI;
    if (coldness < 1) {
      leftMillis += rampMillis(start);
    }
    double growth = 1 + (MAX_RAMP_FACTOR - 1) * (1 - coldness);
    return Math.min(leftMillis, c.share.waitMillis(start.perSecond() * growth, now));
  }

  @Override
  public void recordDemand(BackendServer server, long now) {
    if (waitMillis(server, now) > 0) {
      log.countColdWithheld();
    }
  }

  @Override
  public void recordSent(BackendServer server, long now) {
    Cold c = find(server, now);
    if (c != null && coldness(server, now) > 0) {
      c.share.recordSent();
    }
    if (isCold(server, now)) {
      log.countColdSent();
    }
  }

  boolean isCold(BackendServer server, long now) {
    Cold c = find(server, now);
    return c != null && !c.isOver(now) && coldStarts.apply(server.service()).isLimited();
  }

  /**
   * Returns 1 while a server is cold, then a number that falls to 0 while its load may rise; 0 if
   * it is warm.
   */
  double coldness(BackendServer server, long now) {
    Cold c = find(server, now);
    ColdStart start = c == null ? ColdStart.NONE : coldStarts.apply(server.service());
    if (c == null || !start.isLimited()) {
      return 0;
    }
    double warmMillis = (now - c.endsAt) / (double) Clock.NANOS_PER_MILLI;
    return Math.max(0, Math.min(1, 1 - warmMillis / rampMillis(start)));
  }

  int count(Collection<BackendServer> known, long now) {
    return (int) known.stream().filter(s -> isCold(s, now)).count();
  }

  @Override
  public void retain(Collection<BackendServer> known, long now) {
    Set<ServerRun> runs = new HashSet<>();
    for (BackendServer s : known) {
      runs.add(ServerRun.of(s));
      recordPublished(s, now);
    }
    // An entry may be lost and published again within the same run.
    cold.entrySet()
        .removeIf(
            e ->
                !runs.contains(e.getKey())
                    && (!e.getKey().isUnique()
                        || now - e.getValue().endsAt >= MEMORY_MILLIS * Clock.NANOS_PER_MILLI));
  }
}
