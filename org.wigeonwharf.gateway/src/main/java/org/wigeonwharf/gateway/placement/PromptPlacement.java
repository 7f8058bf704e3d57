package org.wigeonwharf.gateway.placement;

import org.wigeonwharf.gateway.route.EngineSpec;

/**
 * Computes placement costs for model engines and requests with prompts.
 *
 * <p>Designed for a mix of long prompts, whose prefill stalls all streams of their engine, and
 * short ones with interactive inter-token latency objectives, at loads near the engines' prefill
 * capacity. An engine runs many short streams concurrently at little cost, but a single long prompt
 * makes most of them miss their objective. Latency-sensitive streams are therefore packed on the
 * engines with the highest ids of each failure domain and spread only as those fill up, and long
 * prompts go to engines without such streams. A prefix that another engine has cached is fetched
 * from there, which costs little compared to recomputing it, so that load decides the placement. No
 * engine is reserved for either kind of request: the division follows from the load.
 */
public final class PromptPlacement implements PlacementPolicy {
  /** Prefill time in ms that concurrent streams tolerate: one or two prefill chunks. */
  private static final double TOLERABLE_PREFILL_MILLIS = 20;

  /**
   * Prefill backlog in ms above which an engine receives no long prompts that can wait. A backlog
   * of this size keeps the engine busy until routers learn that part of it is done.
   */
  private static final double MAX_BACKLOG_MILLIS = 300;

  /**
   * Cost in ms per ms of prefill on an engine that runs one latency-sensitive stream, which most
   * likely misses its objective.
   */
  private static final double INTERFERENCE_FACTOR = 8;

  /** Cost in ms, to a latency-sensitive stream, per ms of prefill backlog. */
  private static final double BACKLOG_FACTOR = 4;

  /**
   * Cost in ms, to a latency-sensitive stream, of an engine that always has long prompts to
   * prefill.
   */
  private static final double LONG_PREFILL_STREAM_MILLIS = 1_500;

  /**
   * Cost in ms, to a latency-sensitive stream, per engine with a higher id in the same failure
   * domain. It packs such streams on few engines and equals the slowdown that about a hundred
   * running streams cause.
   */
  private static final double PACKING_MILLIS = 100;

  /** Cost in ms per running request, each of which makes a decoding step longer. */
  private static final double RUNNING_REQUEST_MILLIS = 0.8;

  /** Fraction of an engine's slots in use from which requests soon have to wait for a slot. */
  private static final double SLOT_UTILIZATION_LIMIT = 0.85;

  /** Cost in ms per request above {@link #SLOT_UTILIZATION_LIMIT}. */
  private static final double SLOT_WAIT_MILLIS = 30;

  /** Cost in ms per token that is cached on another engine and has to be recomputed. */
  private static final double RECOMPUTE_MILLIS_PER_TOKEN = 0.25;

  /** Cost in ms of the network load per fetched token: a fourteenth of recomputing it. */
  private static final double FETCH_MILLIS_PER_TOKEN = 0.018;

  /** Time in ms to set up a fetch. */
  private static final double FETCH_SETUP_MILLIS = 8;

  /** Cost in ms per token whose first prefill is on another engine than the prefix owner. */
  private static final double NON_OWNER_MILLIS_PER_TOKEN = 0.02;

  /**
   * Cost in ms, to any request, of an engine that always has long prompts to prefill: its decoding
   * steps take several times as long, and long outputs may miss their deadline.
   */
  private static final double LONG_PREFILL_DECODE_MILLIS = 1_500;

  /**
   * Fraction of an engine's KV cache that running requests may claim before preemption is likely.
   */
  private static final double KV_CACHE_UTILIZATION_LIMIT = 0.95;

  private final ServerPenalties penalties;
  private final PrefillRate prefillRate;
  private final EngineSpec engine;

  /**
   * Creates a policy.
   *
   * @param penalties costs of distance and failures
   * @param prefillRate estimate of the engines' prefill rate
   * @param engine capacity of each engine
   */
  public PromptPlacement(ServerPenalties penalties, PrefillRate prefillRate, EngineSpec engine) {
    this.penalties = penalties;
    this.prefillRate = prefillRate;
    this.engine = engine;
  }

  @Override
  public int prefillTokens(Demand demand, Candidate c) {
    int availableTokens = c.cachedTokens() + (canFetchPrefix(c) ? c.cachedElsewhereTokens() : 0);
    return Math.max(0, demand.promptTokens() - availableTokens);
  }

  private boolean canFetchPrefix(Candidate c) {
    return engine.canFetch() && c.cachedElsewhereTokens() > 0;
  }

  @Override
  public double cost(Demand demand, Candidate c) {
    int slots = Math.max(1, c.server().slots());
    if (c.load() >= 2 * slots) {
      return Double.POSITIVE_INFINITY;
    }
    double prefillMillis = prefillRate.toMillis(prefillTokens(demand, c)) * c.slowdown();
    double backlogMillis = prefillRate.toMillis(c.work().prefillTokens()) * c.slowdown();
    double cost = prefillMillis + backlogMillis + loadCost(c, slots) + penalties.total(c);
    cost += LONG_PREFILL_DECODE_MILLIS * c.longPrefillShare() * c.longPrefillShare();
    cost +=
        interferenceCost(c, prefillMillis)
            + missingPrefixCost(demand, c)
            + streamDelayCost(demand, c, backlogMillis);
    if (c.work().kvCacheTokens() + demand.promptTokens()
        > KV_CACHE_UTILIZATION_LIMIT * engine.kvCacheTokens()) {
      cost += demand.objectiveMillis();
    }
    return cost;
  }

  /**
   * Tells whether a long prompt should wait at the router because the engine has a prefill backlog.
   * Short requests of higher priority that arrive later then need not wait behind it, and it goes
   * to the engine that finishes first.
   */
  @Override
  public boolean isBusy(Demand demand, Candidate c) {
    double prefillMillis = prefillRate.toMillis(demand.promptTokens());
    return prefillMillis > TOLERABLE_PREFILL_MILLIS
        && prefillRate.toMillis(c.work().prefillTokens()) > MAX_BACKLOG_MILLIS;
  }

  private static double loadCost(Candidate c, int slots) {
    double excess = Math.max(0, c.load() - SLOT_UTILIZATION_LIMIT * slots);
    return RUNNING_REQUEST_MILLIS * c.load() * c.slowdown() + SLOT_WAIT_MILLIS * excess;
  }

  /** Returns the cost of the running streams that the prompt's prefill delays. */
  private static double interferenceCost(Candidate c, double prefillMillis) {
    double sensitivity = Math.max(c.work().latencySensitivity(), c.averageSensitivity());
    return INTERFERENCE_FACTOR
        * Math.max(0, prefillMillis - TOLERABLE_PREFILL_MILLIS)
        * sensitivity;
  }

  /**
   * Returns the cost of fetching or recomputing the part of the shared prefix that the engine
   * lacks.
   */
  private double missingPrefixCost(Demand demand, Candidate c) {
    int cachedElsewhere = c.cachedElsewhereTokens();
    if (canFetchPrefix(c)) {
      double millisPerToken = FETCH_MILLIS_PER_TOKEN + 1 / engine.fetchTokensPerMilli();
      return FETCH_SETUP_MILLIS + millisPerToken * cachedElsewhere;
    }
    int uncached = Math.max(0, demand.sharedPrefixTokens() - c.cachedTokens() - cachedElsewhere);
    return RECOMPUTE_MILLIS_PER_TOKEN * cachedElsewhere
        + (c.prefixOwner() ? 0 : NON_OWNER_MILLIS_PER_TOKEN * uncached);
  }

  /** Returns the cost of the stalls that long prompts cause in the request's own stream. */
  private static double streamDelayCost(Demand demand, Candidate c, double backlogMillis) {
    double delayMillis =
        BACKLOG_FACTOR * backlogMillis + LONG_PREFILL_STREAM_MILLIS * c.longPrefillShare();
    return demand.latencySensitivity() * (delayMillis + PACKING_MILLIS * c.packingRank());
  }
}
