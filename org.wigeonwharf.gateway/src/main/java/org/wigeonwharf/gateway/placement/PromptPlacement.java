package org.wigeonwharf.gateway.placement;

import org.wigeonwharf.gateway.route.EngineSpec;

/**
 * A PromptPlacement prices model engines for requests with prompts.
 *
 * <p>Answers mixes of long prompts, which hold up every stream of their engine while they are read,
 * and of short ones with tight gap objectives, at loads near what the engines can read. An engine
 * runs many short streams side by side at little cost, but a single long prompt beside them makes
 * most of them late. So tight streams gather on the last engines of each failure domain and spread
 * only as those fill up; long prompts go to engines without tight streams. What another engine has
 * read of a prompt is fetched from there, which costs little beside reading it again, so that the
 * load decides. No engine is set aside: the split follows from the load.
 */
public final class PromptPlacement implements PlacementPolicy {
  /** Reading time in ms that streams beside it hardly notice: one or two chunks. */
  private static final double TOLERABLE_PREFILL_MILLIS = 20;

  /** Reading time in ms that keeps an engine busy until routers hear that it has read something. */
  private static final double MAX_BACKLOG_MILLIS = 300;

  /** Cost in ms of a ms of reading beside one tight stream: most likely it becomes late. */
  private static final double INTERFERENCE_FACTOR = 8;

  /** Cost in ms, to a tight stream, of a ms of prompts that are still to be read. */
  private static final double BACKLOG_FACTOR = 4;

  /** Cost in ms, to a tight stream, of an engine that always has long prompts to read. */
  private static final double LONG_PREFILL_STREAM_MILLIS = 1_500;

  /**
   * Cost in ms, to a tight stream, of each engine that stands behind this one in its failure
   * domain: the slowdown by a hundred streams.
   */
  private static final double PACKING_MILLIS = 100;

  /** Cost in ms of each request that runs beside: a step takes longer with each. */
  private static final double RUNNING_REQUEST_MILLIS = 0.8;

  /** Part of an engine's slots beyond which requests soon wait for one. */
  private static final double SLOT_UTILIZATION_LIMIT = 0.85;

  /** Cost in ms of each request beyond that part. */
  private static final double SLOT_WAIT_MILLIS = 30;

  /** Cost in ms of a token that another engine has read and this one reads again. */
  private static final double RECOMPUTE_MILLIS_PER_TOKEN = 0.25;

  /** Cost in ms of a token that is fetched: the links' share, a fourteenth of reading it again. */
  private static final double FETCH_MILLIS_PER_TOKEN = 0.018;

  /** Time in ms until a fetch begins. */
  private static final double FETCH_SETUP_MILLIS = 8;

  /** Cost in ms of a token that is read first elsewhere than at home. */
  private static final double NON_OWNER_MILLIS_PER_TOKEN = 0.02;

  /**
   * Cost in ms, to each request that generates, of an engine that always has long prompts to read:
   * its steps take several times as long, and long outputs may miss their deadline.
   */
  private static final double LONG_PREFILL_DECODE_MILLIS = 1_500;

  /** Part of an engine's memory that running requests may claim before preemption is near. */
  private static final double KV_CACHE_UTILIZATION_LIMIT = 0.95;

  private final ServerPenalties penalties;
  private final PrefillRate prefillRate;
  private final EngineSpec engine;

  /**
   * Creates a policy.
   *
   * @param penalties prices of distance and failures
   * @param prefillRate how fast engines read prompts
   * @param engine what an engine can do
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
   * Keeps long prompts back from engines that have enough to read, so that urgent short ones that
   * come later need not wait behind them, and whichever engine is done first gets the next.
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

  /** Prices the streams that reading the prompt makes late. */
  private static double interferenceCost(Candidate c, double prefillMillis) {
    double sensitivity = Math.max(c.work().latencySensitivity(), c.averageSensitivity());
    return INTERFERENCE_FACTOR
        * Math.max(0, prefillMillis - TOLERABLE_PREFILL_MILLIS)
        * sensitivity;
  }

  /** Prices getting or reading again what the engine does not keep of the shared beginning. */
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

  /** Prices the pauses that long prompts make in the request's own stream. */
  private static double streamDelayCost(Demand demand, Candidate c, double backlogMillis) {
    double delayMillis =
        BACKLOG_FACTOR * backlogMillis + LONG_PREFILL_STREAM_MILLIS * c.longPrefillShare();
    return demand.latencySensitivity() * (delayMillis + PACKING_MILLIS * c.serversAfter());
  }
}
