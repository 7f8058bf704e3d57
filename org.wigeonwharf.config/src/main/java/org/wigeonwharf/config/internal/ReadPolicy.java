package org.wigeonwharf.config.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.membership.RendezvousHash;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;

/**
 * Decides whether this process watches the configuration service itself.
 *
 * <p>The routers of a failure domain are ranked by rendezvous hashing. The first two always watch.
 * Any other router watches only while no router ranked before it reports recent contact with the
 * platform. Readers that are disconnected or frozen are thus replaced by one further reader and not
 * by the whole failure domain. Not thread-safe.
 */
public final class ReadPolicy {
  /** Routers of a failure domain that always watch. */
  public static final int READERS_PER_DOMAIN = 2;

  /** Time without platform contact of any higher ranked router after which a router watches. */
  public static final long CONTACT_TIMEOUT_NANOS = 2 * Clock.NANOS_PER_SECOND;

  /** Maximum random addition to {@link #CONTACT_TIMEOUT_NANOS}. */
  public static final long MAX_JITTER_NANOS = Clock.NANOS_PER_SECOND;

  private static final String HASH_KEY_PREFIX = "config-reader/";

  private final FailureDomain domain;
  private final Random random;
  private long lastContactNanos;
  private long jitterNanos;

  /**
   * Creates a policy; its creation counts as contact.
   *
   * @param domain the own failure domain
   * @param random draws jitter
   * @param nowNanos the current time
   */
  public ReadPolicy(FailureDomain domain, Random random, long nowNanos) {
    this.domain = domain;
    this.random = random;
    recordContact(nowNanos);
  }

  /**
   * Returns the readers of a failure domain, the routers that always watch.
   *
   * @param view the live routers
   * @param domain the failure domain
   * @return at most {@link #READERS_PER_DOMAIN} nodes, highest ranked first
   */
  public static List<NodeId> readers(MembershipView view, FailureDomain domain) {
    return RendezvousHash.rank(
        HASH_KEY_PREFIX + domain.value(), view.candidates(domain), READERS_PER_DOMAIN);
  }

  /**
   * Returns whether this process should watch now.
   *
   * @param view the live routers and the ages of their platform contacts
   * @param nowNanos the current time
   * @return true if it should
   */
  public boolean shouldRead(MembershipView view, long nowNanos) {
    List<NodeId> candidates = view.candidates(domain);
    List<NodeId> ranked =
        RendezvousHash.rank(HASH_KEY_PREFIX + domain.value(), candidates, candidates.size());
    int position = ranked.indexOf(view.self());
    if (position >= 0 && position < READERS_PER_DOMAIN) {
      recordContact(nowNanos);
      return true;
    }
    Set<NodeId> higherRanked = new HashSet<>(position < 0 ? ranked : ranked.subList(0, position));
    for (Member m : view.members()) {
      if (higherRanked.contains(m.peer().node()) && m.platformContactAgeMillis() >= 0) {
        recordContact(nowNanos - m.platformContactAgeMillis() * Clock.NANOS_PER_MILLI);
      }
    }
    return nowNanos - lastContactNanos > CONTACT_TIMEOUT_NANOS + jitterNanos;
  }

  private void recordContact(long atNanos) {
    if (jitterNanos == 0 || atNanos - lastContactNanos > 0) {
      lastContactNanos = atNanos;
      jitterNanos = 1 + random.nextLong(MAX_JITTER_NANOS);
    }
  }
}
