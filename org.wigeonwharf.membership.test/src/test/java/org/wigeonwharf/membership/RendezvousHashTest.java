package org.wigeonwharf.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.wigeonwharf.model.NodeId;

/**
 * Guards against a choice that differs between processes which list the same nodes in another
 * order, and against moving the shards of other routers when one leaves.
 */
class RendezvousHashTest {
  private static final int KEY_COUNT = 400;

  @Property(tries = 100, seed = "77")
  void removingOneRouterMovesOnlyItsOwnShards(
      @ForAll @IntRange(min = 2, max = 40) int routers, @ForAll long seed) {
    List<NodeId> all = nodes(routers);
    NodeId removed = all.get(new Random(seed).nextInt(routers));
    List<NodeId> remaining = all.stream().filter(n -> !n.equals(removed)).toList();
    int moved = 0;
    for (int k = 0; k < KEY_COUNT; k++) {
      NodeId before = RendezvousHash.choose("s/d/" + k, all).orElseThrow();
      NodeId after = RendezvousHash.choose("s/d/" + k, remaining).orElseThrow();
      assertTrue(before.equals(removed) || before.equals(after));
      moved += before.equals(after) ? 0 : 1;
    }
    double expectedShare = (double) KEY_COUNT / routers;
    assertTrue(
        moved <= expectedShare + 5 * Math.sqrt(expectedShare),
        moved + " keys moved, expected share " + expectedShare);
  }

  @Property(tries = 100, seed = "78")
  void choiceDoesNotDependOnNodeOrder(
      @ForAll @IntRange(min = 1, max = 40) int n, @ForAll long seed) {
    List<NodeId> shuffled = new ArrayList<>(nodes(n));
    Collections.shuffle(shuffled, new Random(seed));
    assertEquals(
        RendezvousHash.choose("k" + seed, nodes(n)), RendezvousHash.choose("k" + seed, shuffled));
  }

  private static List<NodeId> nodes(int n) {
    return IntStream.range(0, n).mapToObj(i -> new NodeId("vm" + i, 1 + i * 31L)).toList();
  }
}
