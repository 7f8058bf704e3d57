package org.wigeonwharf.config.internal;

import java.util.List;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;

/**
 * Decides when a newly started process may rely on the configuration it holds.
 *
 * <p>It may once it holds the highest revision that its peers report, or after a bounded wait, but
 * never before a configuration is in force. Thread-safe.
 */
public final class SettlingPolicy {
  /** Maximum wait while no peer is known, or one reports no revision or a higher one. */
  public static final long MAX_WAIT_NANOS = 2 * Clock.NANOS_PER_SECOND;

  private final long startNanos;
  private volatile boolean settled;

  /**
   * Creates a policy and starts its bounded wait.
   *
   * @param startNanos the current time
   */
  public SettlingPolicy(long startNanos) {
    this.startNanos = startNanos;
  }

  /**
   * Returns whether the process has settled; once true, it stays true.
   *
   * @param view the live routers
   * @param heldRevision the revision in force here, 0 for none
   * @param nowNanos the current time
   * @return true if it has settled
   */
  public boolean isSettled(MembershipView view, long heldRevision, long nowNanos) {
    if (settled) {
      return true;
    }
    if (heldRevision == 0) {
      return false;
    }
    settled =
        nowNanos - startNanos >= MAX_WAIT_NANOS || holdsHighestPeerRevision(view, heldRevision);
    return settled;
  }

  private static boolean holdsHighestPeerRevision(MembershipView view, long heldRevision) {
    List<Member> peers =
        view.members().stream().filter(m -> !m.peer().node().equals(view.self())).toList();
    return !peers.isEmpty()
        && peers.stream()
            .allMatch(m -> m.configRevision() > 0 && m.configRevision() <= heldRevision);
  }
}
