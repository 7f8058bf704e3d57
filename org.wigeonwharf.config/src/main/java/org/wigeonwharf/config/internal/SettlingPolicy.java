package org.wigeonwharf.config.internal;

import java.util.List;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;

/**
 * Settling decides when a fresh process may trust the configuration it holds.
 *
 * <p>That is once it holds the highest revision that its peers told, or once a bounded wait ended;
 * in no case before it holds one. Thread-safe.
 */
public final class SettlingPolicy {
  /** Longest wait for peers that do not tell their revision. */
  public static final long MAX_WAIT_NANOS = 2 * Clock.NANOS_PER_SECOND;

  private final long startNanos;
  private volatile boolean settled;

  /**
   * Begins the wait.
   *
   * @param startNanos the current time
   */
  public SettlingPolicy(long startNanos) {
    this.startNanos = startNanos;
  }

  /**
   * Decides whether the process has settled; once true, it stays true.
   *
   * @param view the live routers
   * @param heldRevision the revision in force here, 0 for none
   * @param nowNanos the current time
   * @return true if it has
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
