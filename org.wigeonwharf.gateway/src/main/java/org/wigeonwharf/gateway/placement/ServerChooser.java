package org.wigeonwharf.gateway.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.notice.ServerNotices;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;

/**
 * Chooses the backend server for a request, based on the in-flight work of all routers and on this
 * router's statistics of each server. Not thread-safe.
 */
public final class ServerChooser {
  /**
   * Fraction of an engine's KV cache that is expected to hold cached prefixes beside running
   * requests.
   */
  private static final double PREFIX_CACHE_FRACTION = 0.5;

  /** Minimum number of tokens for which a fetch is worth its setup time. */
  private static final int MIN_FETCH_TOKENS = 64;

  /**
   * Minimum number of tokens for which a fetch from an engine that may lack them is worth trying.
   */
  private static final int MIN_SPECULATIVE_FETCH_TOKENS = 1_000;

  /**
   * Prefill backlog, in tokens, from which an engine counts as busy with long prompts: several
   * prefill chunks.
   */
  private static final int LONG_PREFILL_TOKENS = 6_000;

  /** Minimum time in ms between two passes over all servers of a sampled pool. */
  private static final long SURVEY_INTERVAL_MILLIS = 250;

  /** Cost that makes any open server preferable to one that wants no request now. */
  private static final double CLOSED_PENALTY_MILLIS = 1e9;

  private final FailureDomain domain;
  private final InFlightTracker inFlight;
  private final PrefixCacheIndex prefixCaches;
  private final ServerPenalties penalties;
  private final ServerNotices notices;
  private final RandomGenerator random;
  private final PlacementMetrics metrics;
  private final Map<PoolKey, SurveyedPool> pools = new HashMap<>();
  private final Map<String, ServerStats> stats = new HashMap<>();
  private final Map<String, PrefillRate> prefillRates = new HashMap<>();

  /**
   * Creates a chooser.
   *
   * @param domain the router's own failure domain
   * @param inFlight the in-flight work per server
   * @param prefixCaches the prompts that engines are expected to have cached
   * @param penalties costs of distance and failures
   * @param notices what servers state of themselves
   * @param random draws the candidates among many servers
   * @param metrics receives how choices are made
   */
  public ServerChooser(
      FailureDomain domain,
      InFlightTracker inFlight,
      PrefixCacheIndex prefixCaches,
      ServerPenalties penalties,
      ServerNotices notices,
      RandomGenerator random,
      PlacementMetrics metrics) {
    this.domain = domain;
    this.inFlight = inFlight;
    this.prefixCaches = prefixCaches;
    this.penalties = penalties;
    this.notices = notices;
    this.random = random;
    this.metrics = metrics;
  }

  /**
   * Chooses the server with the lowest cost among some candidates. If none of these is sound, has a
   * free slot and may receive the request now, all servers are compared.
   *
   * @param demand the request
   * @param service the service's description, or null if it is not published
   * @param servers the usable servers in the order of their ids
   * @param tried ids that the request was already sent to
   * @param canWait true if the request can wait for a less busy server
   * @param firstChoice true if this is the request's first choice, which counts as demand
   * @param now the current time in nanoseconds
   * @return the choice, or null if no server may receive the request now
   */
  public @Nullable Choice choose(
      Demand demand,
      @Nullable ServiceSpec service,
      List<BackendServer> servers,
      Set<String> tried,
      boolean canWait,
      boolean firstChoice,
      long now) {
    EngineSpec engine = service == null ? null : service.engine();
    PlacementPolicy policy = policy(demand, engine);
    ServerPool pool = pool(demand, engine, servers, now);
    String ownerId = PrefixOwner.find(demand.parts(), pool.servers());
    if (pool.isSampled()) {
      Set<BackendServer> drawn = pool.draw(demand, ownerId, domain, prefixCaches, random);
      Selection some = select(demand, policy, pool, drawn, ownerId, tried, now);
      Candidate best = some.best;
      if (best != null && isFree(best, now) && !some.isWorthWaiting(demand, policy)) {
        return toChoice(demand, engine, policy, some, best, firstChoice, now);
      }
      metrics.recordFullScan();
    }
    Selection all = select(demand, policy, pool, servers, ownerId, tried, now);
    Candidate best = all.best;
    if (best == null || canWait && all.isWorthWaiting(demand, policy)) {
      recordDemand(all, firstChoice, now);
      return null;
    }
    return toChoice(demand, engine, policy, all, best, firstChoice, now);
  }

  /** Tells whether a drawn server is good enough without comparing it with all others. */
  private boolean isFree(Candidate c, long now) {
    return c.hasFreeSlot() && notices.coldness(c.server(), now) == 0;
  }

  /** Holds what a comparison of candidates found. */
  private static final class Selection {
    private final List<Candidate> candidates;
    private @Nullable Candidate best;
    private @Nullable Candidate preferred;
    private double lowestCost = Double.POSITIVE_INFINITY;
    private double lowestWaitingCost = Double.POSITIVE_INFINITY;

    Selection(List<Candidate> candidates) {
      this.candidates = candidates;
    }

    boolean isWorthWaiting(Demand demand, PlacementPolicy policy) {
      return best == null || lowestWaitingCost < lowestCost || policy.isBusy(demand, best);
    }
  }

  /** Holds a pool with the time of the last pass over its servers. */
  private static final class SurveyedPool {
    private final ServerPool pool;
    private long surveyedAt;
    private long cacheTokens;

    SurveyedPool(ServerPool pool) {
      this.pool = pool;
    }
  }

  private record PoolKey(
      String service, AllowedRegions regions, @Nullable String softwareVersion) {}

  private Selection select(
      Demand demand,
      PlacementPolicy policy,
      ServerPool pool,
      Collection<BackendServer> servers,
      @Nullable String ownerId,
      Set<String> tried,
      long now) {
    metrics.recordCandidates(servers.size());
    Selection s = new Selection(candidates(demand, pool, servers, ownerId, now));
    double preferredCost = Double.POSITIVE_INFINITY;
    for (Candidate c : s.candidates) {
      double cost =
          tried.contains(c.server().id()) ? Double.POSITIVE_INFINITY : policy.cost(demand, c);
      cost += ColdStartCost.millis(demand, !tried.isEmpty(), notices.coldness(c.server(), now));
      double waitMillis = notices.waitMillis(c.server(), now);
      double preference = notices.isClosed(c.server(), now) ? cost + CLOSED_PENALTY_MILLIS : cost;
      if (preference < preferredCost) {
        s.preferred = c;
        preferredCost = preference;
      }
      if (waitMillis > 0) {
        s.lowestWaitingCost = Math.min(s.lowestWaitingCost, cost + waitMillis);
      } else if (cost < s.lowestCost) {
        s.best = c;
        s.lowestCost = cost;
      }
    }
    return s;
  }

  private Choice toChoice(
      Demand demand,
      @Nullable EngineSpec engine,
      PlacementPolicy policy,
      Selection s,
      Candidate best,
      boolean firstChoice,
      long now) {
    recordDemand(s, firstChoice, now);
    metrics.recordChosen(best);
    BackendServer source = cacheSource(demand, engine, s.candidates, best, now);
    return new Choice(best, s.lowestCost, source, policy.prefillTokens(demand, best));
  }

  private void recordDemand(Selection s, boolean firstChoice, long now) {
    if (s.preferred != null && firstChoice) {
      notices.recordDemand(s.preferred.server(), now);
    }
  }

  private ServerPool pool(
      Demand demand, @Nullable EngineSpec engine, List<BackendServer> servers, long now) {
    PoolKey key = new PoolKey(demand.service(), demand.regions(), demand.softwareVersion());
    SurveyedPool p = pools.get(key);
    boolean created = p == null || !p.pool.adopt(servers);
    if (p == null || created) {
      p = new SurveyedPool(new ServerPool(servers));
      pools.put(key, p);
    }
    if (engine != null) {
      setCacheCapacity(p, (long) (PREFIX_CACHE_FRACTION * engine.kvCacheTokens()));
    }
    if (created
        || !p.pool.isSampled()
        || now - p.surveyedAt >= SURVEY_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI) {
      p.surveyedAt = now;
      survey(p.pool, now);
    }
    return p.pool;
  }

  private void setCacheCapacity(SurveyedPool p, long tokens) {
    if (p.cacheTokens != tokens) {
      p.cacheTokens = tokens;
      p.pool.servers().forEach(s -> prefixCaches.setCapacity(s.id(), tokens));
    }
  }

  /** Updates what is derived from the work at all servers of a pool. */
  private void survey(ServerPool pool, long now) {
    double sensitivity = 0;
    double sum = 0;
    double sumOfSquares = 0;
    for (BackendServer s : pool.servers()) {
      ServerWork work = inFlight.workAt(s.id(), now);
      boolean longPrefill = work.prefillTokens() >= LONG_PREFILL_TOKENS;
      stats(s.id(), now).sampleWorkload(longPrefill, work.latencySensitivity(), now);
      sensitivity += work.latencySensitivity();
      sum += work.running();
      sumOfSquares += (double) work.running() * work.running();
    }
    pool.resizeInteractiveSet(sensitivity);
    metrics.recordLoads(sum, sumOfSquares, pool.servers().size());
  }

  /**
   * Sums the load of servers up.
   *
   * @param servers the usable servers
   * @param now the current time in nanoseconds
   * @return the load of those that answer
   */
  public ServiceLoad load(List<BackendServer> servers, long now) {
    int open = 0;
    int slots = 0;
    int taken = 0;
    int queued = 0;
    long prefillTokens = 0;
    double opensInMillis = Double.POSITIVE_INFINITY;
    for (BackendServer s : servers) {
      ServerStats st = stats(s.id(), now);
      double waitMillis = notices.waitMillis(s, now);
      if (waitMillis > 0) {
        opensInMillis = Math.min(opensInMillis, waitMillis);
      } else if (st.state(now) != Candidate.State.SILENT) {
        ServerWork work = inFlight.workAt(s.id(), now);
        int load = Math.max(work.running(), st.reportedLoad(now));
        open++;
        slots += s.slots();
        taken += Math.min(load, s.slots());
        queued += Math.max(0, load - s.slots());
        prefillTokens += work.prefillTokens();
      }
    }
    boolean opens = open == 0 && opensInMillis < Double.POSITIVE_INFINITY;
    return new ServiceLoad(open, slots, taken, queued, prefillTokens, opens ? opensInMillis : 0);
  }

  private PlacementPolicy policy(Demand demand, @Nullable EngineSpec engine) {
    if (engine == null || !demand.hasPrompt()) {
      return new PlainPlacement(penalties);
    }
    return new PromptPlacement(penalties, prefillRate(demand.service()), engine);
  }

  /**
   * Finds the engine from which to fetch the prompt's shared prefix: the one known to have most of
   * it cached. If none is known and the prefix is long, it is the prefix owner, which may have it
   * cached without this router knowing.
   */
  private @Nullable BackendServer cacheSource(
      Demand demand,
      @Nullable EngineSpec engine,
      List<Candidate> candidates,
      Candidate best,
      long now) {
    int missingTokens = demand.sharedPrefixTokens() - best.cachedTokens();
    if (engine == null || !engine.canFetch() || missingTokens < MIN_FETCH_TOKENS) {
      return null;
    }
    Candidate holder = largestHolder(candidates, now);
    if (holder != null && best.cachedElsewhereTokens() >= MIN_FETCH_TOKENS) {
      return holder.server();
    }
    for (Candidate c : candidates) {
      boolean mayHold = c.prefixOwner() && c != best && isSource(c, now);
      if (mayHold && missingTokens >= MIN_SPECULATIVE_FETCH_TOKENS) {
        return c.server();
      }
    }
    return null;
  }

  private @Nullable Candidate largestHolder(List<Candidate> candidates, long now) {
    Candidate holder = null;
    for (Candidate c : candidates) {
      boolean more = holder == null || c.cachedTokens() > holder.cachedTokens();
      if (more && isSource(c, now)) {
        holder = c;
      }
    }
    return holder;
  }

  /** Returns whether prompts may be fetched from a server, which also loads it. */
  private boolean isSource(Candidate c, long now) {
    return c.state() == Candidate.State.SOUND && !notices.isCold(c.server(), now);
  }

  private List<Candidate> candidates(
      Demand demand,
      ServerPool pool,
      Collection<BackendServer> servers,
      @Nullable String ownerId,
      long now) {
    int maxCachedTokens = 0;
    for (BackendServer s : servers) {
      if (stats(s.id(), now).state(now) == Candidate.State.SOUND && !notices.isCold(s, now)) {
        maxCachedTokens =
            Math.max(maxCachedTokens, prefixCaches.cachedTokens(s.id(), demand.parts()));
      }
    }
    List<Candidate> found = new ArrayList<>(servers.size());
    for (BackendServer s : servers) {
      int rank = pool.packingRank(s);
      found.add(toCandidate(demand, s, rank, s.id().equals(ownerId), maxCachedTokens, now));
    }
    return notices.areAllWarm(now) ? found : withRisingLoad(found, now);
  }

  /**
   * Adds a part of the mean load to servers that are cold or were so a moment ago. All routers
   * would otherwise prefer them at once.
   */
  private List<Candidate> withRisingLoad(List<Candidate> candidates, long now) {
    double meanLoad =
        candidates.stream()
            .filter(c -> notices.coldness(c.server(), now) == 0)
            .mapToInt(Candidate::load)
            .average()
            .orElse(0);
    return candidates.stream()
        .map(c -> c.withAddedLoad(notices.coldness(c.server(), now) * meanLoad))
        .toList();
  }

  private Candidate toCandidate(
      Demand demand,
      BackendServer server,
      int packingRank,
      boolean prefixOwner,
      int maxCachedTokens,
      long now) {
    ServerStats s = stats(server.id(), now);
    ServerWork work = inFlight.workAt(server.id(), now);
    int cachedTokens = prefixCaches.cachedTokens(server.id(), demand.parts());
    return new Candidate(
        server,
        server.domain().equals(domain),
        packingRank,
        prefixOwner,
        work,
        s.reportedLoad(now),
        s.slowdown(now),
        s.reportAgeMillis(now),
        s.failureRate(now),
        s.state(now),
        cachedTokens,
        Math.max(0, maxCachedTokens - cachedTokens),
        s.averageSensitivity(),
        s.longPrefillShare());
  }

  /**
   * Records that a request is sent.
   *
   * @param demand the request
   * @param choice the server that it is sent to
   * @param now the current time in nanoseconds
   * @return the request's entry among the in-flight requests
   */
  public InFlightTracker.Entry recordSent(Demand demand, Choice choice, long now) {
    BackendServer server = choice.candidate().server();
    String id = server.id();
    stats(id, now).recordSent(now);
    prefixCaches.recordSent(id, demand.parts(), now);
    notices.recordSent(server, now);
    return inFlight.add(id, demand, choice.prefillTokens());
  }

  /**
   * Records that the head of a request's answer was received, or that the request no longer waits
   * for it.
   *
   * @param server the server's id
   * @param answered true if the head of an answer was received
   * @param now the current time in nanoseconds
   */
  public void recordResponse(String server, boolean answered, long now) {
    stats(server, now).recordResponse(answered, now);
  }

  /**
   * Records a server's load report.
   *
   * @param server the server's id
   * @param report the report
   * @param now the current time in nanoseconds
   */
  public void recordLoadReport(String server, LoadReport report, long now) {
    stats(server, now).recordLoadReport(report, now);
  }

  /**
   * Records the end of a request at a server.
   *
   * @param server the server's id
   * @param failed true if it failed there
   * @param now the current time in nanoseconds
   */
  public void recordEnd(String server, boolean failed, long now) {
    stats(server, now).recordEnd(failed, now);
  }

  /**
   * Records that a server rejected a request because it is full.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void recordFull(String server, long now) {
    stats(server, now).recordFull(now);
  }

  /**
   * Records that a server could not be reached.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void recordUnreachable(String server, long now) {
    stats(server, now).recordUnreachable(now);
  }

  /**
   * Records that a server refused the connection of another router.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void recordRefusedElsewhere(String server, long now) {
    stats(server, now).recordRefusedElsewhere(now);
  }

  /**
   * Removes all servers except the given ones.
   *
   * @param known the ids of the servers to keep
   */
  public void retainServers(Collection<String> known) {
    Set<String> kept = Set.copyOf(known);
    pools.values().removeIf(p -> !p.pool.isWithin(kept));
    stats.keySet().retainAll(kept);
    prefixCaches.retainServers(kept);
  }

  /**
   * Returns the prefill rate of the engines of a service.
   *
   * @param service the service's name
   * @return the estimate, which later requests update
   */
  public PrefillRate prefillRate(String service) {
    return prefillRates.computeIfAbsent(service, s -> new PrefillRate());
  }

  private ServerStats stats(String id, long now) {
    return stats.computeIfAbsent(id, i -> new ServerStats(now));
  }
}
