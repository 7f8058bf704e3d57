package org.wigeonwharf.gateway.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;

/**
 * Keeps the fleet within the request rates that backend servers name, without leaving them idle.
 *
 * <p>Each router sends at its share of a limit, in proportion to its part of the demand for that
 * server. The routers tell each other the limits and their demand, so that the shares follow the
 * traffic and the routers that come and go. Shares are small if there are many routers; the first
 * request of each is therefore spread over the time in which it earns one. Not thread-safe.
 */
public final class ServerLimits {
  /** Time in ms for which a limit or its absence counts after the last answer that tells it. */
  private static final long MAX_AGE_MILLIS = 60_000;

  /** Maximum age in ms of a peer's demand. */
  private static final long DEMAND_MAX_AGE_MILLIS = 1_500;

  /**
   * Time in ms in which a router learns the demand of its peers. After its start it sends nothing
   * for that long, and after a server has named a limit at most an equal part of it.
   */
  private static final long DISCOVERY_MILLIS = 1_500;

  /** Time in ms by which the age of a limit may grow on its way through several routers. */
  private static final long TRANSIT_MILLIS = 100;

  /** Demand in requests per second below which a router counts as idle. */
  private static final double MIN_DEMAND = 0.05;

  /** Minimum weight of a router's demand, so that the first request gets a share. */
  private static final double MIN_WEIGHT = 0.001;

  /**
   * Time constant in ms with which weights follow the demand. A router that grew its share before
   * the others know of its demand would exceed the limit together with them.
   */
  private static final double WEIGHT_LAG_MILLIS = 1_000;

  /** Requests per second to a server that accepts none, to learn when that changes. */
  private static final double MIN_PER_SECOND = 0.25;

  /** Maximum factor by which shares grow while routers use less of a limit than they want. */
  private static final double MAX_UNUSED_FACTOR = 1.5;

  /** Time in ms of its share that a router may send at once. */
  private static final double MAX_BURST_MILLIS = 1_000;

  private static final int MAX_SERVERS = 1_024;

  /**
   * Maximum number of servers sent to other routers in one message, which has to fit a datagram.
   */
  private static final int MAX_SHARED_SERVERS = 100;

  private final LimitLog log;
  private final IntSupplier peerCount;
  private final RandomGenerator random;
  private final long startedAt;
  private final Map<String, Named> named = new HashMap<>();
  private final Map<String, Share> shares = new HashMap<>();
  private final Map<String, DemandReport> reports = new HashMap<>();

  private record Named(double perSecond, long toldAt, long since) {
    private boolean isLimited(long now) {
      return perSecond >= 0 && now - toldAt < MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI;
    }
  }

  private record DemandReport(Map<String, ServerDemand> servers, long reportedAt) {}

  /** Holds this router's part of one limit as a token bucket. */
  private static final class Share {
    private final DemandRate demand;
    private final DemandRate sent;
    private final TokenBucket bucket;
    private double weight;

    private Share(double phase, long now) {
      this.demand = new DemandRate(now);
      this.sent = new DemandRate(now);
      this.bucket = new TokenBucket(phase, now);
    }

    private ServerDemand total(long now) {
      return new ServerDemand(weight, sent.perSecond(now));
    }
  }

  /**
   * Creates an instance that knows no limits.
   *
   * @param log records decisions
   * @param peerCount supplies the number of other routers that are considered alive
   * @param random spreads the first requests of the routers
   * @param now the current time in nanoseconds
   */
  public ServerLimits(LimitLog log, IntSupplier peerCount, RandomGenerator random, long now) {
    this.log = log;
    this.peerCount = peerCount;
    this.random = random;
    this.startedAt = now;
  }

  /**
   * Records what an answer says of its server's limit.
   *
   * @param server the server's id
   * @param perSecond the limit in requests per second, or null if the answer names none; NaN if it
   *     names one that could not be read, so that the one before holds on
   * @param now the current time in nanoseconds
   */
  public void recordAnswer(String server, @Nullable Double perSecond, long now) {
    if (perSecond != null && perSecond.isNaN()) {
      Named known = limitOf(server, now);
      if (known != null) {
        put(server, known.perSecond, now, now, "answer");
      }
      return;
    }
    if (perSecond != null || named.containsKey(server)) {
      put(server, perSecond == null ? NamedLimit.NONE : perSecond, now, now, "answer");
    }
  }

  private void put(String server, double perSecond, long toldAt, long now, String source) {
    Named before = named.get(server);
    double limitBefore =
        before != null && before.isLimited(now) ? before.perSecond : NamedLimit.NONE;
    if (before == null && named.size() >= MAX_SERVERS) {
      return;
    }
    long since = before != null && limitBefore >= 0 && perSecond >= 0 ? before.since : now;
    named.put(server, new Named(perSecond, toldAt, since));
    if (perSecond < 0 && limitBefore >= 0) {
      log.logLifted(server, source);
    } else if (perSecond >= 0 && perSecond != limitBefore) {
      log.logLimited(server, perSecond, source);
    }
  }

  private @Nullable Named limitOf(String server, long now) {
    Named n = named.get(server);
    return n == null || !n.isLimited(now) ? null : n;
  }

  /**
   * Tells whether a server has named a limit.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public boolean isLimited(String server, long now) {
    return limitOf(server, now) != null;
  }

  /**
   * Returns how long this router has to wait until it may send a request to a server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   * @return the time in ms, as the demand is now; 0 if it may send one immediately
   */
  public double waitMillis(String server, long now) {
    Named limit = limitOf(server, now);
    if (limit == null) {
      return 0;
    }
    Share share = share(server, now);
    refill(server, share, limit, now);
    return share.bucket.waitMillis(sharePerSecond(server, share, limit, now));
  }

  private Share share(String server, long now) {
    return shares.computeIfAbsent(server, s -> new Share(random.nextDouble(), now));
  }

  private void refill(String server, Share share, Named limit, long now) {
    double elapsedMillis = share.bucket.elapsedMillis(now);
    double adaption = 1 - Math.exp(-elapsedMillis / WEIGHT_LAG_MILLIS);
    share.weight += (share.demand.perSecond(now) - share.weight) * adaption;
    if (now - startedAt < DISCOVERY_MILLIS * Clock.NANOS_PER_MILLI) {
      share.bucket.skip(now);
      return;
    }
    double perSecond = sharePerSecond(server, share, limit, now);
    share.bucket.earn(perSecond, Math.max(1, perSecond * MAX_BURST_MILLIS / 1_000), now);
    if (share.demand.perSecond(now) < MIN_DEMAND && share.bucket.hasToken()) {
      // Otherwise all routers could send at once when demand returns.
      share.bucket.reset();
    }
  }

  private double sharePerSecond(String server, Share share, Named limit, long now) {
    ServerDemand others = reportedDemand(server, now);
    double perSecond = Math.max(MIN_PER_SECOND, limit.perSecond);
    double weight = Math.max(MIN_WEIGHT, share.weight);
    double wanted = weight + others.wanted();
    double part = weight / wanted;
    if (now - limit.since < DISCOVERY_MILLIS * Clock.NANOS_PER_MILLI) {
      part = Math.min(part, 1.0 / (1 + peerCount.getAsInt()));
    }
    double sent = others.sent() + share.sent.perSecond(now);
    boolean unused = wanted > perSecond && sent < perSecond;
    double factor = unused ? Math.min(MAX_UNUSED_FACTOR, perSecond / sent) : 1;
    return perSecond * factor * part;
  }

  private ServerDemand reportedDemand(String server, long now) {
    ServerDemand sum = ServerDemand.NONE;
    for (DemandReport r : reports.values()) {
      if (now - r.reportedAt <= DEMAND_MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
        sum = sum.plus(r.servers.getOrDefault(server, ServerDemand.NONE));
      }
    }
    return sum;
  }

  /**
   * Records that a request is best sent to a server with a limit, whether this router may send it
   * there now or not.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void recordDemand(String server, long now) {
    Named limit = limitOf(server, now);
    if (limit == null) {
      return;
    }
    Share share = share(server, now);
    share.demand.recordEvent(now);
    if (waitMillis(server, now) > 0) {
      log.logWithheld(
          server,
          limit.perSecond,
          sharePerSecond(server, share, limit, now),
          share.total(now),
          reportedDemand(server, now),
          now);
    }
  }

  /**
   * Records that a request is sent to a server.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void recordSent(String server, long now) {
    if (isLimited(server, now)) {
      Share share = share(server, now);
      share.bucket.take();
      share.sent.recordEvent(now);
    }
  }

  /**
   * Removes all servers except the given ones and those that have named a limit lately. The entry
   * of a server may be missing for a while, and its limit holds when it is back.
   *
   * @param known the ids of the servers to keep
   * @param now the current time in nanoseconds
   */
  public void retainServers(Collection<String> known, long now) {
    named.entrySet().removeIf(e -> !known.contains(e.getKey()) && !e.getValue().isLimited(now));
    shares.keySet().removeIf(s -> !known.contains(s) && !named.containsKey(s));
  }

  /**
   * Removes a server, since another run of it has named no limit.
   *
   * @param server the server's id
   */
  public void forget(String server) {
    named.remove(server);
    shares.remove(server);
  }

  // Exchange with other routers.

  /**
   * Returns what servers last said, by server id; if there are too many, the newest.
   *
   * @param now the current time in nanoseconds
   */
  public Map<String, NamedLimit> limits(long now) {
    named.values().removeIf(n -> now - n.toldAt >= MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI);
    Map<String, NamedLimit> newest = new HashMap<>();
    named.entrySet().stream()
        .sorted(Comparator.comparingLong(e -> now - e.getValue().toldAt))
        .limit(MAX_SHARED_SERVERS)
        .forEach(
            e -> {
              Named n = e.getValue();
              newest.put(e.getKey(), new NamedLimit(n.perSecond, now - n.toldAt));
            });
    return newest;
  }

  /**
   * Merges what another router knows; the newest word of each server counts.
   *
   * @param limits the limits by server id
   * @param now the current time in nanoseconds
   */
  public void merge(Map<String, NamedLimit> limits, long now) {
    limits.forEach(
        (server, limit) -> {
          long toldAt = now - limit.ageNanos();
          Named known = named.get(server);
          boolean newer =
              known == null || toldAt - known.toldAt > TRANSIT_MILLIS * Clock.NANOS_PER_MILLI;
          if (newer && limit.ageNanos() < MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
            put(server, limit.perSecond(), toldAt, now, "peer");
          }
        });
  }

  /**
   * Returns this router's demand for each server with a limit.
   *
   * @param now the current time in nanoseconds
   */
  public Map<String, ServerDemand> demand(long now) {
    return demandWith(List.of(), now);
  }

  /**
   * Returns the demand of this router and some sources for each server with a limit.
   *
   * @param sources the sources to include; those without a recent report are left out
   * @param now the current time in nanoseconds
   * @return the demand by server id
   */
  public Map<String, ServerDemand> demandWith(Collection<String> sources, long now) {
    Map<String, ServerDemand> sum = new HashMap<>();
    shares.forEach(
        (server, share) -> {
          Named limit = limitOf(server, now);
          if (limit != null) {
            refill(server, share, limit, now);
            sum.put(server, share.total(now));
          }
        });
    for (String source : sources) {
      DemandReport r = reports.get(source);
      if (r != null && now - r.reportedAt <= DEMAND_MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
        r.servers.forEach((server, d) -> sum.merge(server, d, ServerDemand::plus));
      }
    }
    if (sum.size() > MAX_SHARED_SERVERS) {
      List<String> least =
          sum.keySet().stream()
              .sorted(
                  Comparator.comparingDouble(s -> -sum.getOrDefault(s, ServerDemand.NONE).wanted()))
              .skip(MAX_SHARED_SERVERS)
              .toList();
      least.forEach(sum::remove);
    }
    return sum;
  }

  /**
   * Replaces the recorded demand of a source.
   *
   * @param source identifies a peer, or a group of peers that reports its sum
   * @param demand its demand by server id
   * @param reportedAt the time of the report in nanoseconds
   */
  public void replaceDemand(String source, Map<String, ServerDemand> demand, long reportedAt) {
    if (demand.isEmpty()) {
      reports.remove(source);
    } else {
      reports.put(source, new DemandReport(Map.copyOf(demand), reportedAt));
    }
  }

  /**
   * Removes the recorded demand of a source that has left the fleet.
   *
   * @param source identifies a peer or a group of peers
   */
  public void removeDemand(String source) {
    reports.remove(source);
  }

  /**
   * Returns the number of servers with a limit.
   *
   * @param now the current time in nanoseconds
   */
  public int limitedCount(long now) {
    return (int) named.values().stream().filter(n -> n.isLimited(now)).count();
  }
}
