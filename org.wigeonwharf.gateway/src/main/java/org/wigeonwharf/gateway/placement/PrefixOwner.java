package org.wigeonwharf.gateway.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * Finds the prefix owner: the engine preferred for the first prefill of a prompt's shared prefix if
 * other costs are equal. Rendezvous hashing lets all routers agree without communication, even just
 * after a start, and a change in the set of servers moves few prompts.
 */
final class PrefixOwner {
  private PrefixOwner() {}

  /**
   * Finds the engine that owns a prompt's shared prefix.
   *
   * @param parts the prompt's parts in order
   * @param servers the service's servers
   * @return the owner's id, or null if the prompt has no shared prefix or there are no servers
   */
  static @Nullable String find(List<PromptPart> parts, List<BackendServer> servers) {
    if (parts.size() < 2) {
      return null;
    }
    String lastSharedId = parts.get(parts.size() - 2).id();
    String owner = null;
    long minWeight = 0;
    for (BackendServer s : servers) {
      long w = weight(lastSharedId, s.id());
      if (owner == null || w < minWeight) {
        owner = s.id();
        minWeight = w;
      }
    }
    return owner;
  }

  private static long weight(String part, String server) {
    // Mixes the bits by a 64-bit finalizer, since String.hashCode differs little between similar
    // strings.
    long h = part.hashCode() * 0x9E3779B97F4A7C15L + server.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
