package org.wigeonwharf.schedule;

/**
 * PolicyOptions switch the parts of the policy, so that each can be measured without the others.
 *
 * @param earlyRefusal refuse at arrival what can't get a slot before its deadline
 * @param lateLast within a tier, serve what can still meet its target before what can't
 * @param fairAccounts order client accounts by weighted use within a tier
 * @param reserve grant each waiting class its share
 * @param headroom part of a server's slots kept for short urgent work, 0 to 1
 * @param preemption cancel long streams of lower tiers to meet a target
 * @param stragglers weigh servers by their observed speed
 * @param affinity prefer the servers that hold a prompt's prefix
 * @param adaptiveSlots lower a server's slots while its token gap is past the target
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

  /** All parts off: tiers, then order of arrival, and the server with the most free slots. */
  public static final PolicyOptions NONE =
      new PolicyOptions(false, false, false, false, 0, false, false, false, false);
}
