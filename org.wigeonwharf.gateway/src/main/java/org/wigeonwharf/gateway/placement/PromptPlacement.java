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
  private static final double HARMLESS_MILLIS = 20;

  /** Reading time in ms that keeps an engine busy until routers hear that it has read something. */
  private static final double BUSY_MILLIS = 300;

  /** Cost in ms of a ms of reading beside one tight stream: most likely it becomes late. */
  private static final double HARM = 8;

  /** Cost in ms, to a tight stream, of a ms of prompts that are still to be read. */
  private static final double HELD_UP = 4;

  /** Cost in ms, to a tight stream, of an engine that always has long prompts to read. */
  private static final double BULK_NEIGHBOUR_MILLIS = 1_500;

  /**
   * Cost in ms, to a tight stream, of each engine that stands behind this one in its failure
   * domain: the slowdown by a hundred streams.
   */
  private static final double GATHERING_MILLIS = 100;

  /** Cost in ms of each request that runs beside: a step takes longer with each. */
  private static final double RUNNING_MILLIS = 0.8;

  /** Part of an engine's slots beyond which requests soon wait for one. */
  private static final double SLOT_FILL = 0.85;

  /** Cost in ms of each request beyond that part. */
  private static final double CROWDED_MILLIS = 30;

  /** Cost in ms of a token that another engine has read and this one reads again. */
  private static final double REREAD_MILLIS = 0.25;

  /** Cost in ms of a token that is fetched: the links' share, a fourteenth of reading it again. */
  private static final double FETCH_MILLIS = 0.018;

  /** Time in ms until a fetch begins. */
  private static final double FETCH_SETUP_MILLIS = 8;

  /** Cost in ms of a token that is read first elsewhere than at home. */
  private static final double STRANGE_MILLIS = 0.02;

  /**
   * Cost in ms, to each request that generates, of an engine that always has long prompts to read:
   * its steps take several times as long, and long outputs may miss their deadline.
   */
  private static final double SLOW_STEPS_MILLIS = 1_500;

  /** Part of an engine's memory that running requests may claim before preemption is near. */
  private static final double MEMORY_FILL = 0.95;

  private final ServerPenalties penalties;
  private final ReadingSpeed speed;
  private final EngineSpec engine;

  /**
   * Creates a policy.
   *
   * @param penalties prices of distance and failures
   * @param speed how fast engines read prompts
   * @param engine what an engine can do
   */
  public PromptPlacement(ServerPenalties penalties, ReadingSpeed speed, EngineSpec engine) {
    this.penalties = penalties;
    this.speed = speed;
    this.engine = engine;
  }

  @Override
  public int unreadTokens(Demand demand, Candidate c) {
    int kept = c.rememberedTokens() + (fetches(c) ? c.keptElsewhereTokens() : 0);
    return Math.max(0, demand.promptTokens() - kept);
  }

  private boolean fetches(Candidate c) {
    return engine.canFetch() && c.keptElsewhereTokens() > 0;
  }

  @Override
  public double cost(Demand demand, Candidate c) {
    int slots = Math.max(1, c.server().slots());
    if (c.load() >= 2 * slots) {
      return Double.POSITIVE_INFINITY;
    }
    double own = speed.millis(unreadTokens(demand, c)) * c.slowdown();
    double backlog = speed.millis(c.work().prefillTokens()) * c.slowdown();
    double cost = own + backlog + crowding(c, slots) + penalties.of(c);
    cost += SLOW_STEPS_MILLIS * c.bulkShare() * c.bulkShare();
    cost += harm(c, own) + missing(demand, c) + heldUp(demand, c, backlog);
    if (c.work().memoryTokens() + demand.promptTokens() > MEMORY_FILL * engine.memoryTokens()) {
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
    double own = speed.millis(demand.promptTokens());
    return own > HARMLESS_MILLIS && speed.millis(c.work().prefillTokens()) > BUSY_MILLIS;
  }

  private static double crowding(Candidate c, int slots) {
    double beyond = Math.max(0, c.load() - SLOT_FILL * slots);
    return RUNNING_MILLIS * c.load() * c.slowdown() + CROWDED_MILLIS * beyond;
  }

  /** Prices the streams that reading the prompt makes late. */
  private static double harm(Candidate c, double own) {
    double tight = Math.max(c.work().tightness(), c.usualTightness());
    return HARM * Math.max(0, own - HARMLESS_MILLIS) * tight;
  }

  /** Prices getting or reading again what the engine does not keep of the shared beginning. */
  private double missing(Demand demand, Candidate c) {
    int elsewhere = c.keptElsewhereTokens();
    if (fetches(c)) {
      double transfer = FETCH_MILLIS + 1 / engine.fetchTokensPerMilli();
      return FETCH_SETUP_MILLIS + transfer * elsewhere;
    }
    int unknown = Math.max(0, demand.sharedTokens() - c.rememberedTokens() - elsewhere);
    return REREAD_MILLIS * elsewhere + (c.home() ? 0 : STRANGE_MILLIS * unknown);
  }

  /** Prices the pauses that long prompts make in the request's own stream. */
  private static double heldUp(Demand demand, Candidate c, double backlog) {
    double waits = HELD_UP * backlog + BULK_NEIGHBOUR_MILLIS * c.bulkShare();
    return demand.tightness() * (waits + GATHERING_MILLIS * c.behind());
  }
}
