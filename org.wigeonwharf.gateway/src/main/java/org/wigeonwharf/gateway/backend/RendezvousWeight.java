package org.wigeonwharf.gateway.backend;

/**
 * Computes weights for rendezvous hashing, by which all routers agree on a choice without
 * communication.
 */
public final class RendezvousWeight {
  private RendezvousWeight() {}

  /**
   * Returns the weight of a candidate for a key.
   *
   * @param key the key
   * @param candidate the candidate's name
   * @return a uniformly distributed number that depends only on the key and the name
   */
  public static long of(String key, String candidate) {
    // Mixes the bits by a 64-bit finalizer, since String.hashCode differs little between similar
    // strings.
    long h = key.hashCode() * 0x9E3779B97F4A7C15L + candidate.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
