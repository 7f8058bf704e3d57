package org.wigeonwharf.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeonwharf.model.NodeId;

/**
 * Assigns keys to nodes by rendezvous hashing: adding or removing a node moves only that node's
 * keys.
 *
 * <p>Every process computes the same assignment from the same set of nodes.
 */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Chooses the node with the highest weight for a key.
   *
   * @param key the key
   * @param nodes the live nodes
   * @return the chosen node, or empty if there are no nodes
   */
  public static Optional<NodeId> choose(String key, Collection<NodeId> nodes) {
    return nodes.stream().max(byWeight(key));
  }

  /**
   * Ranks nodes by their weight for a key.
   *
   * @param key the key
   * @param nodes the live nodes
   * @param count the maximum number of nodes to return
   * @return the nodes with the highest weights, highest first
   */
  public static List<NodeId> rank(String key, Collection<NodeId> nodes, int count) {
    return nodes.stream().sorted(byWeight(key).reversed()).limit(count).toList();
  }

  private static Comparator<NodeId> byWeight(String key) {
    return Comparator.comparingLong((NodeId n) -> weight(key, n.name()))
        .thenComparing(Comparator.naturalOrder());
  }

  /**
   * Returns the weight of a node for a key: the FNV-1a hash of both, followed by a finalizer.
   *
   * @param key the key
   * @param node the node's name
   * @return a uniformly distributed number that depends only on the key and the name
   */
  public static long weight(String key, String node) {
    long h = FNV_OFFSET;
    for (byte b : (key + "|" + node).getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(h);
  }

  /** Applies the 64-bit finalizer of MurmurHash3. */
  private static long mix(long h) {
    long x = h;
    x = (x ^ (x >>> 33)) * 0xff51afd7ed558ccdL;
    x = (x ^ (x >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return x ^ (x >>> 33);
  }
}
