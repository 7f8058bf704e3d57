package org.wigeonwharf.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeonwharf.model.NodeId;

/**
 * Rendezvous spreads keys over nodes so that a node's coming or going moves only its own share.
 *
 * <p>Every process computes the same choice from the same set of nodes.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Chooses the node of a key.
   *
   * @param key the key
   * @param nodes the live nodes
   * @return the choice, or empty if there are no nodes
   */
  public static Optional<NodeId> choose(String key, Collection<NodeId> nodes) {
    return nodes.stream().max(byWeight(key));
  }

  /**
   * Ranks the nodes for a key.
   *
   * @param key the key
   * @param nodes the live nodes
   * @param count most nodes to return
   * @return the first choices, best first
   */
  public static List<NodeId> rank(String key, Collection<NodeId> nodes, int count) {
    return nodes.stream().sorted(byWeight(key).reversed()).limit(count).toList();
  }

  private static Comparator<NodeId> byWeight(String key) {
    return Comparator.comparingLong((NodeId n) -> weight(key, n.name()))
        .thenComparing(Comparator.naturalOrder());
  }

  /**
   * Returns the weight of a node for a key; the highest weight is the choice.
   *
   * @param key the key
   * @param node the node's name
   * @return a well-mixed number that depends on both texts only
   */
  public static long weight(String key, String node) {
    long h = FNV_OFFSET;
    for (byte b : (key + "|" + node).getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(h);
  }

  private static long mix(long h) {
    long x = h;
    x = (x ^ (x >>> 33)) * 0xff51afd7ed558ccdL;
    x = (x ^ (x >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return x ^ (x >>> 33);
  }
}
