package org.wigeonwharf.gateway.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * A PromptHome is the engine on which a prompt's shared beginning is read first if all else is
 * equal, by rendezvous hashing: routers agree on it without a word, also when they have just
 * started, and a change of the servers moves few prompts.
 */
final class PrefixOwner {
  private PrefixOwner() {}

  /**
   * Finds the home of a prompt.
   *
   * @param parts the prompt's parts in order
   * @param servers the service's servers
   * @return the home's id, or null if the prompt shares nothing
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
    // A 64-bit finalizer spreads the weak hash of similar texts.
    long h = part.hashCode() * 0x9E3779B97F4A7C15L + server.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
