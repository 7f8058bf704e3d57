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

class RendezvousTest {
  private static final int KEYS = 400;

  @Property(tries = 100, seed = "77")
  void changeOfOneRouterMovesOnlyItsOwnShards(
      @ForAll @IntRange(min = 2, max = 40) int routers, @ForAll long seed) {
    List<NodeId> all = nodes(routers);
    NodeId gone = all.get(new Random(seed).nextInt(routers));
    List<NodeId> rest = all.stream().filter(n -> !n.equals(gone)).toList();
    int moved = 0;
    for (int k = 0; k < KEYS; k++) {
      NodeId before = Rendezvous.choose("s/d/" + k, all).orElseThrow();
      NodeId after = Rendezvous.choose("s/d/" + k, rest).orElseThrow();
      assertTrue(before.equals(gone) || before.equals(after));
      moved += before.equals(after) ? 0 : 1;
    }
    double share = (double) KEYS / routers;
    assertTrue(moved <= share + 5 * Math.sqrt(share), moved + " of share " + share);
  }

  @Property(tries = 100, seed = "78")
  void choiceDoesNotDependOnOrder(@ForAll @IntRange(min = 1, max = 40) int n, @ForAll long seed) {
    List<NodeId> shuffled = new ArrayList<>(nodes(n));
    Collections.shuffle(shuffled, new Random(seed));
    assertEquals(Rendezvous.choose("k" + seed, nodes(n)), Rendezvous.choose("k" + seed, shuffled));
  }

  private static List<NodeId> nodes(int n) {
    return IntStream.range(0, n).mapToObj(i -> new NodeId("vm" + i, 1 + i * 31L)).toList();
  }
}
