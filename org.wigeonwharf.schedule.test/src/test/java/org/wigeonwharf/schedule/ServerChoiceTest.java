package org.wigeonwharf.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.ServerId;

/**
 * Checks that grants avoid slow, refusing and loaded servers and prefer the servers that a prompt
 * prefix is assigned to.
 */
class ServerChoiceTest {
  private static final long SECOND = Clock.NANOS_PER_SECOND;
  private static final ServerPool.Criteria WITH_TARGET =
      new ServerPool.Criteria(false, false, 500, 200, 0);

  private static ServerPool pool(int servers, int slots) {
    ConfigBuilder config = new ConfigBuilder();
    for (int i = 0; i < servers; i++) {
      config.server("s" + i, slots, false);
    }
    ServerPool pool = new ServerPool(PolicyOptions.DEFAULT);
    pool.configure(config.serverList(), 0);
    return pool;
  }

  private static Map<ServerId, Integer> fill(
      ServerPool pool, ServerPool.Criteria criteria, long now) {
    Map<ServerId, Integer> result = new HashMap<>();
    for (ServerState s = pool.choose(criteria, now); s != null; s = pool.choose(criteria, now)) {
      s.occupy(false);
      s.recordGrant(now);
      result.merge(s.server().id(), 1, Integer::sum);
    }
    return result;
  }

  @Test
  void slowServerGetsOnlyProbesOfWorkWithTarget() {
    ServerPool pool = pool(4, 8);
    List<ServerState> servers = pool.all();
    for (ServerState s : servers) {
      pool.recordFirstToken(s, s == servers.get(0) ? 5 : 1, SECOND);
    }
    Map<ServerId, Integer> grants = fill(pool, WITH_TARGET, SECOND);
    assertEquals(1, grants.get(servers.get(0).server().id()));
    assertEquals(8, grants.get(servers.get(1).server().id()));
  }

  @Property(tries = 100, seed = "51")
  void atMostHalfOfThePoolIsOnProbation(@ForAll long seed) {
    java.util.Random random = new java.util.Random(seed);
    ServerPool pool = pool(1 + random.nextInt(12), 4);
    for (int i = 0; i < 100; i++) {
      ServerState s = pool.all().get(random.nextInt(pool.all().size()));
      pool.recordFirstToken(s, 1 + random.nextInt(20), SECOND);
      long slow = pool.all().stream().filter(x -> pool.isOnProbation(x, SECOND)).count();
      assertTrue(slow <= pool.all().size() / 2, slow + " on probation of " + pool.all().size());
    }
  }

  @Test
  void refusingServerGetsNothingUntilItsBackoffEnds() {
    ServerPool pool = pool(2, 1);
    ServerState refusing = pool.all().get(0);
    refusing.backOff(0);
    assertEquals(Set.of(pool.all().get(1).server().id()), fill(pool, WITH_TARGET, 0).keySet());
    long later = ServerState.MIN_BACKOFF_MILLIS * Clock.NANOS_PER_MILLI;
    assertEquals(Set.of(refusing.server().id()), fill(pool, WITH_TARGET, later).keySet());
  }

  @Property(tries = 100, seed = "52")
  void prefixStaysOnItsServerUntilThatIsLoaded(@ForAll long affinity) {
    ServerPool pool = pool(8, 8);
    ServerPool.Criteria criteria =
        new ServerPool.Criteria(false, false, -1, 0, affinity == 0 ? 1 : affinity);
    Set<ServerId> chosen = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      ServerState s = pool.choose(criteria, 0);
      chosen.add(s.server().id());
      s.occupy(false);
      s.release(false);
    }
    assertEquals(1, chosen.size());
    Map<ServerId, Integer> grants = fill(pool, criteria, 0);
    assertEquals(8, grants.size());
  }

  @Test
  void slotsFallWhileTheTokenGapIsPastItsTargetAndRiseSlowly() {
    ServerPool pool = pool(1, 8);
    ServerState s = pool.all().get(0);
    for (int i = 1; i <= 4; i++) {
      pool.recordTokenGap(s, 100, 67, i * 2 * SECOND);
    }
    assertEquals(4, s.slotLimit());
    // The moving mean of the gaps still exceeds the target for one more observation.
    pool.recordTokenGap(s, 40, 67, 9 * SECOND);
    assertEquals(3, s.slotLimit());
    for (int i = 10; i <= 20; i++) {
      pool.recordTokenGap(s, 40, 67, i * SECOND);
    }
    assertEquals(5, s.slotLimit());
  }

  @Test
  void delayedReportOfExternalWorkMovesGrantsToOtherServer() {
    ServerPool pool = pool(2, 8);
    pool.all().get(0).applyReport(new LoadReport(6, 0, 2_000), 0);
    assertEquals(pool.all().get(1), pool.choose(WITH_TARGET, 0));
  }
}
