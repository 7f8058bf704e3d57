package org.wigeonwharf.gateway.placement;

/**
 * A PromptPlacement prices model engines for requests with prompts.
 *
 * <p>Answers mixes of long prompts, which hold up every stream of their engine while they are read,
 * and of short ones with tight gap objectives. Long prompts gather on the first engines of each
 * failure domain for as long as their wait there stays within their objective, and move on to the
 * next when it does not; streams with tight gaps keep off engines that read long prompts. So the
 * split follows the load.
 */
public final class PromptPlacement implements PlacementPolicy {
  /** Reading time in ms from which a prompt holds up other streams noticeably: two chunks. */
  private static final double BULK_MILLIS = 30;

  /** Cost in ms of a ms of reading beside one tight stream. */
  private static final double HARM = 0.6;

  /** Cost in ms, to a tight stream, of a ms of prompts that are still to be read. */
  private static final double HELD_UP = 1.5;

  /** Cost in ms, to a tight stream, of an engine that always has long prompts to read. */
  private static final double BULK_NEIGHBOUR_MILLIS = 150;

  /** Part of its objective that a long prompt waits rather than move on to the next engine. */
  private static final double PACKING = 0.08;

  /** Cost in ms of each request that runs beside: a step takes longer with each. */
  private static final double RUNNING_MILLIS = 0.8;

  /** Part of an engine's memory that running requests may claim before preemption is near. */
  private static final double MEMORY_FILL = 0.95;

  private final ServerPenalties penalties;
  private final ReadingSpeed speed;
  private final long memoryTokens;

  /**
   * Creates a policy.
   *
   * @param penalties prices of distance and failures
   * @param speed how fast engines read prompts
   * @param memoryTokens tokens that an engine's memory holds
   */
  public PromptPlacement(ServerPenalties penalties, ReadingSpeed speed, long memoryTokens) {
    this.penalties = penalties;
    this.speed = speed;
    this.memoryTokens = memoryTokens;
  }

  @Override
  public double cost(Demand demand, Candidate c) {
    ServerWork w = c.work();
    if (c.load() >= 2 * Math.max(1, c.server().slots())) {
      return Double.POSITIVE_INFINITY;
    }
    final double own = speed.millis(demand.promptTokens() - c.rememberedTokens()) * c.slowdown();
    final double backlog = speed.millis(w.prefillTokens()) * c.slowdown();
    double cost = own + backlog + RUNNING_MILLIS * c.load() * c.slowdown();
    cost += demand.tightness() * (HELD_UP * backlog + BULK_NEIGHBOUR_MILLIS * c.bulkShare());
    if (isBulk(demand, own)) {
      cost += HARM * own * w.tightness() + PACKING * demand.objectiveMillis() * c.rank();
    }
    if (w.memoryTokens() + demand.promptTokens() > MEMORY_FILL * memoryTokens) {
      cost += demand.objectiveMillis();
    }
    return cost + penalties.of(c);
  }

  private static boolean isBulk(Demand demand, double ownMillis) {
    return ownMillis >= BULK_MILLIS && demand.tightness() < 0.5;
  }
}
