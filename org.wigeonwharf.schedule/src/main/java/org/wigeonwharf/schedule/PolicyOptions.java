package org.wigeonwharf.schedule;

/**
 * Switches for the parts of the scheduling policy, so that each can be measured separately.
 *
 * @param earlyRefusal refuse a request at arrival if it can't get a slot before its deadline
 * @param lateLast within a tier, serve requests that can still meet their target before the others
 * @param fairAccounts order client accounts by weighted use within a tier
 * @param reserve grant each waiting class its share
 * @param headroom fraction of a server's slots kept free for foreground work, 0 to 1
 * @param preemption cancel long streams of lower tiers to meet a target
 * @param stragglers weight servers by their observed speed
 * @param affinity prefer the servers that a prompt's prefix is assigned to
 * @param adaptiveSlots lower a server's slot limit while its token gap exceeds the target
 */
public record PolicyOptions(
    boolean earlyRefusal,
    boolean lateLast,
    boolean fairAccounts,
    boolean reserve,
    double headroom,
    boolean preemption,
    boolean stragglers,
    boolean affinity,
    boolean adaptiveSlots) {
  /** All parts on. */
  public static final PolicyOptions DEFAULT =
      new PolicyOptions(true, true, true, true, 0.25, true, true, true, true);

  /** All parts off: tiers, then least slack, and the server with the lowest load. */
  public static final PolicyOptions NONE =
      new PolicyOptions(false, false, false, false, 0, false, false, false, false);
}
