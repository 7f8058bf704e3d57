package org.wigeonwharf.schedule;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;

/**
 * Chooses the backend server of a grant.
 *
 * <p>The server with the lowest product of load and slowdown factor is chosen. A request with a
 * prompt prefix goes to one of the two servers that rendezvous hashing ranks highest for the
 * prefix, unless both are full, on probation or loaded well above the mean. A server much slower
 * than the pool's median is on probation: apart from an occasional probe, it gets no request that
 * would miss its target there. Not thread-safe.
 */
final class ServerPool {
  /** Slowdown relative to the pool's median from which a server is on probation. */
  static final double PROBATION_FACTOR = 2;

  /** Minimum time between probes of a server on probation, in milliseconds. */
  static final long PROBE_INTERVAL_MILLIS = 500;

  /** Age of the newest observation above which a server's speed is unknown, in milliseconds. */
  static final long MAX_OBSERVATION_AGE_MILLIS = 5_000;

  /** Maximum ratio of load to mean load at which a server is preferred for its prefix. */
  static final double MAX_AFFINITY_LOAD_RATIO = 1.25;

  private final PolicyOptions options;
  private final Map<ServerId, ServerState> servers = new LinkedHashMap<>();
  private double medianFirstTokenRatio = -1;
  private double medianTokenGapMillis = -1;

  /**
   * A request's requirements on its server.
   *
   * @param background true if the request must leave the headroom free
   * @param reservesHeadroom true if the servers of the service keep headroom
   * @param firstTokenBudgetMillis time left to the first-token target in milliseconds; negative if
   *     the target is missed or does not apply
   * @param meanFirstTokenMillis mean time to the first token of the request's class in milliseconds
   * @param affinity hash of the prompt's prefix, or 0 for none
   */
  record Criteria(
      boolean background,
      boolean reservesHeadroom,
      long firstTokenBudgetMillis,
      double meanFirstTokenMillis,
      long affinity) {}

  ServerPool(PolicyOptions options) {
    this.options = options;
  }

  /**
   * Applies the published servers. A server that is no longer published keeps its leases but gets
   * no new work.
   *
   * @param published the shard's servers
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void configure(List<BackendServer> published, long nowNanos) {
    Map<ServerId, BackendServer> next = new HashMap<>();
    published.forEach(s -> next.put(s.id(), s));
    servers
        .entrySet()
        .removeIf(e -> !next.containsKey(e.getKey()) && e.getValue().usedSlots() == 0);
    servers.forEach(
        (id, state) -> state.configure(next.getOrDefault(id, asLeaving(state.server()))));
    published.forEach(s -> servers.computeIfAbsent(s.id(), id -> new ServerState(s, nowNanos)));
  }

  private static BackendServer asLeaving(BackendServer s) {
    return new BackendServer(s.id(), s.service(), s.domain(), s.address(), s.slots(), true);
  }

  @Nullable ServerState get(ServerId id) {
    return servers.get(id);
  }

  /**
   * Returns a server; one that is not published is added as leaving, so that it gets no new work.
   *
   * @param id the server
   * @param shard its shard
   * @param nowNanos the current monotonic time in nanoseconds
   * @return its state
   */
  ServerState getOrAddUnpublished(ServerId id, ShardId shard, long nowNanos) {
    return servers.computeIfAbsent(
        id,
        k -> {
          InetSocketAddress unresolved = InetSocketAddress.createUnresolved("unknown", 0);
          BackendServer s =
              new BackendServer(id, shard.service(), shard.domain(), unresolved, 0, true);
          return new ServerState(s, nowNanos);
        });
  }

  /**
   * Chooses a server.
   *
   * @param criteria what the request requires
   * @param nowNanos the current monotonic time in nanoseconds
   * @return the server, or null if none can take the request now
   */
  @Nullable ServerState choose(Criteria criteria, long nowNanos) {
    ServerState best =
        criteria.affinity() == 0 || !options.affinity()
            ? null
            : chooseByAffinity(criteria, nowNanos);
    if (best != null) {
      return best;
    }
    double bestScore = Double.MAX_VALUE;
    for (ServerState s : servers.values()) {
      double score = score(s, nowNanos);
      if (score < bestScore && canTake(s, criteria, nowNanos)) {
        best = s;
        bestScore = score;
      }
    }
    return best;
  }

  private double score(ServerState s, long nowNanos) {
    double nextLoad = s.load(nowNanos) + 1.0 / Math.max(1, s.slotLimit());
    return nextLoad * slowdownFactor(s, nowNanos);
  }

  private @Nullable ServerState chooseByAffinity(Criteria criteria, long nowNanos) {
    double maxLoad = MAX_AFFINITY_LOAD_RATIO * meanLoad(nowNanos);
    ServerState first = null;
    ServerState second = null;
    long firstWeight = Long.MIN_VALUE;
    long secondWeight = Long.MIN_VALUE;
    for (ServerState s : servers.values()) {
      long weight = mix(criteria.affinity() ^ s.server().id().value().hashCode());
      if (weight > firstWeight) {
        second = first;
        secondWeight = firstWeight;
        first = s;
        firstWeight = weight;
      } else if (weight > secondWeight) {
        second = s;
        secondWeight = weight;
      }
    }
    if (isSuitableForAffinity(first, criteria, maxLoad, nowNanos)) {
      return first;
    }
    return isSuitableForAffinity(second, criteria, maxLoad, nowNanos) ? second : null;
  }

  private boolean isSuitableForAffinity(
      @Nullable ServerState s, Criteria criteria, double maxLoad, long nowNanos) {
    return s != null
        && s.load(nowNanos) <= maxLoad
        && slowdownFactor(s, nowNanos) < PROBATION_FACTOR
        && canTake(s, criteria, nowNanos);
  }

  private double meanLoad(long nowNanos) {
    double sum = 0;
    for (ServerState s : servers.values()) {
      sum += s.load(nowNanos);
    }
    return sum / Math.max(1, servers.size());
  }

  private static long mix(long value) {
    long h = value * 0x9E3779B97F4A7C15L;
    h = (h ^ (h >>> 32)) * 0xD6E8FEB86659FD93L;
    return h ^ (h >>> 32);
  }

  private boolean canTake(ServerState s, Criteria criteria, long nowNanos) {
    if (s.freeSlots(criteria.background(), headroom(s, criteria.reservesHeadroom()), nowNanos)
        <= 0) {
      return false;
    }
    double slowdown = slowdownFactor(s, nowNanos);
    boolean slow = slowdown >= PROBATION_FACTOR && criteria.firstTokenBudgetMillis() >= 0;
    return !slow
        || slowdown * criteria.meanFirstTokenMillis() <= criteria.firstTokenBudgetMillis()
        || (s.usedSlots() == 0 && s.isProbeDue(PROBE_INTERVAL_MILLIS, nowNanos));
  }

  /**
   * Returns whether a server is much slower than the others.
   *
   * @param s the server
   * @param nowNanos the current monotonic time in nanoseconds
   * @return true while it is on probation
   */
  boolean isOnProbation(ServerState s, long nowNanos) {
    return slowdownFactor(s, nowNanos) >= PROBATION_FACTOR;
  }

  private int headroom(ServerState s, boolean reservesHeadroom) {
    return reservesHeadroom ? (int) Math.round(s.slotLimit() * options.headroom()) : 0;
  }

  /**
   * Returns how much slower a server is than the pool's median.
   *
   * @param s the server
   * @param nowNanos the current monotonic time in nanoseconds
   * @return at least 1; 1 if the server has no recent observation
   */
  double slowdownFactor(ServerState s, long nowNanos) {
    if (!options.stragglers() || s.speed.ageMillis(nowNanos) > MAX_OBSERVATION_AGE_MILLIS) {
      return 1;
    }
    double first = ratio(s.speed.firstTokenRatio(), medianFirstTokenRatio);
    double gap = ratio(s.speed.tokenGapMillis(), medianTokenGapMillis);
    return Math.max(1, Math.max(first, gap));
  }

  private static double ratio(double own, double median) {
    return own < 0 || median <= 0 ? 1 : own / median;
  }

  /**
   * Records the time to the first token of an answer.
   *
   * @param s the server
   * @param ratio time to the first token divided by the mean of its class
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void recordFirstToken(ServerState s, double ratio, long nowNanos) {
    s.speed.recordFirstToken(ratio, nowNanos);
    medianFirstTokenRatio = median(e -> e.firstTokenRatio());
  }

  /**
   * Records the mean inter-token latency of an answer.
   *
   * @param s the server
   * @param millis inter-token latency in milliseconds
   * @param targetMillis target for the inter-token latency in milliseconds
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void recordTokenGap(ServerState s, double millis, double targetMillis, long nowNanos) {
    s.speed.recordTokenGap(millis, nowNanos);
    medianTokenGapMillis = median(e -> e.tokenGapMillis());
    if (options.adaptiveSlots() && !isOnProbation(s, nowNanos)) {
      s.adaptLimit(s.speed.tokenGapMillis(), targetMillis, nowNanos);
    }
  }

  private double median(ToDoubleFunction<SpeedEstimate> part) {
    double[] known =
        servers.values().stream()
            .mapToDouble(s -> part.applyAsDouble(s.speed))
            .filter(v -> v >= 0)
            .toArray();
    if (known.length == 0) {
      return -1;
    }
    Arrays.sort(known);
    return known[(known.length - 1) / 2];
  }

  /**
   * Returns the number of slots in service.
   *
   * @return sum of the slot limits of the servers that are not leaving
   */
  int totalSlots() {
    int sum = 0;
    for (ServerState s : servers.values()) {
      sum += s.server().leaving() ? 0 : s.slotLimit();
    }
    return sum;
  }

  /**
   * Returns the number of slots that could be granted to foreground work now.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return number of slots
   */
  int freeSlots(long nowNanos) {
    int sum = 0;
    for (ServerState s : servers.values()) {
      sum += s.freeSlots(false, 0, nowNanos);
    }
    return sum;
  }

  List<ServerState> all() {
    return new ArrayList<>(servers.values());
  }

  Map<ServerId, Integer> usedSlotsByServer() {
    Map<ServerId, Integer> result = new TreeMap<>();
    servers.forEach((id, s) -> result.put(id, s.usedSlots()));
    return result;
  }
}
