package org.wigeonwharf.config.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;

/**
 * Tests the choice of readers, the retry backoff and the settling of a new router.
 *
 * <p>Guards against a failure domain without a reader when its readers lose the platform, and
 * against all routers of a domain reading at once when one further reader is enough.
 */
class ReadPolicyTest {
  private static final FailureDomain HOBART = new FailureDomain("hobart-a");
  private static final long STEP_NANOS = 100 * Clock.NANOS_PER_MILLI;

  private static NodeId node(int i) {
    return new NodeId("vm" + i, 1);
  }

  /** Creates a view with platform contact now for the given nodes and a minute ago for others. */
  private static MembershipView view(int self, int count, List<Integer> inContact) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Peer p = new Peer(node(i), HOBART, new InetSocketAddress("127.0.0.1", 1 + i));
      members.add(new Member(p, false, 1, inContact.contains(i) ? 0 : 60_000));
    }
    return new MembershipView(node(self), members);
  }

  /** Evaluates all policies at every step until the given time and returns who reads then. */
  private static List<Integer> readersAfter(
      long endNanos, int count, List<Integer> disconnected, List<ReadPolicy> policies) {
    List<Integer> reading = new ArrayList<>();
    for (long now = 0; now <= endNanos; now += STEP_NANOS) {
      List<Integer> inContact = reading.stream().filter(i -> !disconnected.contains(i)).toList();
      List<Integer> next = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        if (policies.get(i).shouldRead(view(i, count, inContact), now)) {
          next.add(i);
        }
      }
      reading = next;
    }
    return reading;
  }

  private static List<ReadPolicy> policies(int count, long seed) {
    Random random = new Random(seed);
    List<ReadPolicy> policies = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      policies.add(new ReadPolicy(HOBART, random, 0));
    }
    return policies;
  }

  @Property(tries = 100, seed = "63")
  void twoRoutersOfOneFailureDomainRead(
      @ForAll @IntRange(min = 2, max = 38) int count, @ForAll long seed) {
    List<Integer> reading = readersAfter(20 * STEP_NANOS, count, List.of(), policies(count, seed));
    assertEquals(2, reading.size());
  }

  @Property(tries = 100, seed = "64")
  void oneMoreRouterReadsWhenBothReadersLoseThePlatform(
      @ForAll @IntRange(min = 3, max = 38) int count, @ForAll long seed) {
    List<Integer> readers = readersAfter(0, count, List.of(), policies(count, seed));
    List<Integer> reading =
        readersAfter(
            ReadPolicy.CONTACT_TIMEOUT_NANOS
                + ReadPolicy.MAX_JITTER_NANOS
                + 10 * Clock.NANOS_PER_SECOND,
            count,
            readers,
            policies(count, seed));
    assertTrue(reading.containsAll(readers));
    assertEquals(3, reading.size());
  }

  @Test
  void everyRouterReadsWhenNoneHasContact() {
    int count = 8;
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(i);
    }
    long wait = ReadPolicy.CONTACT_TIMEOUT_NANOS + ReadPolicy.MAX_JITTER_NANOS + STEP_NANOS;
    assertEquals(all, readersAfter(wait, count, all, policies(count, 1)));
  }

  @Property(tries = 100, seed = "65")
  void backoffDelayGrowsUpToItsMaximum(@ForAll long seed) {
    Backoff backoff = new Backoff(500, 8_000, new Random(seed));
    for (int i = 0; i < 40; i++) {
      long bound = Math.min(8_000, 500L << Math.min(i, 10));
      long delay = backoff.recordFailure();
      assertTrue(delay <= bound && delay >= bound / 2, delay + " of " + bound);
    }
    backoff.recordSuccess();
    assertTrue(backoff.recordFailure() <= 500);
  }

  @Test
  void newRouterSettlesAtItsPeersRevisionOrAfterTheMaximumWait() {
    MembershipView peers = view(0, 2, List.of());
    assertFalse(
        new SettlingPolicy(0).isSettled(peers, 0, SettlingPolicy.MAX_WAIT_NANOS),
        "holds no configuration");
    assertTrue(new SettlingPolicy(0).isSettled(peers, 1, 1), "holds its peer's revision");
    MembershipView alone = view(0, 1, List.of());
    assertFalse(new SettlingPolicy(0).isSettled(alone, 1, SettlingPolicy.MAX_WAIT_NANOS - 1));
    assertTrue(new SettlingPolicy(0).isSettled(alone, 1, SettlingPolicy.MAX_WAIT_NANOS));
  }
}
