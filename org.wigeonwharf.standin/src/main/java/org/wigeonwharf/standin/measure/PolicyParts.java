package org.wigeonwharf.standin.measure;

import java.util.Optional;
import org.wigeonwharf.schedule.PolicyOptions;

/** Defines the parts of the scheduling policy that an ablation measurement can disable. */
final class PolicyParts {
  private PolicyParts() {}

  /**
   * Returns the policy options with one part disabled.
   *
   * @param part name of the part, {@code all} for all parts, or empty for the complete policy
   * @return the options, or empty if the name is unknown
   */
  static Optional<PolicyOptions> without(String part) {
    PolicyOptions o = PolicyOptions.DEFAULT;
    return switch (part) {
      case "" -> Optional.of(o);
      case "all" -> Optional.of(PolicyOptions.NONE);
      case "early-refusal" -> Optional.of(with(false, o.lateLast(), o.fairAccounts(), o.reserve()));
      case "late-last" -> Optional.of(with(o.earlyRefusal(), false, o.fairAccounts(), o.reserve()));
      case "fair-accounts" -> Optional.of(with(o.earlyRefusal(), o.lateLast(), false, o.reserve()));
      case "reserve" -> Optional.of(with(o.earlyRefusal(), o.lateLast(), o.fairAccounts(), false));
      case "headroom" -> Optional.of(with(0, o.preemption(), o.stragglers(), o.adaptiveSlots()));
      case "preemption" ->
          Optional.of(with(o.headroom(), false, o.stragglers(), o.adaptiveSlots()));
      case "stragglers" ->
          Optional.of(with(o.headroom(), o.preemption(), false, o.adaptiveSlots()));
      case "adaptive-slots" ->
          Optional.of(with(o.headroom(), o.preemption(), o.stragglers(), false));
      default -> Optional.empty();
    };
  }

  private static PolicyOptions with(
      boolean earlyRefusal, boolean lateLast, boolean fairAccounts, boolean reserve) {
    PolicyOptions o = PolicyOptions.DEFAULT;
    return new PolicyOptions(
        earlyRefusal,
        lateLast,
        fairAccounts,
        reserve,
        o.headroom(),
        o.preemption(),
        o.stragglers(),
        o.affinity(),
        o.adaptiveSlots());
  }

  private static PolicyOptions with(
      double headroom, boolean preemption, boolean stragglers, boolean adaptiveSlots) {
    PolicyOptions o = PolicyOptions.DEFAULT;
    return new PolicyOptions(
        o.earlyRefusal(),
        o.lateLast(),
        o.fairAccounts(),
        o.reserve(),
        headroom,
        preemption,
        stragglers,
        o.affinity(),
        adaptiveSlots);
  }
}
