package org.wigeonwharf.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * An AffinityOrder names the engines to try for a prompt's shared beginning, by rendezvous hashing:
 * all routers agree on it without a word, and a change of the servers moves few prompts.
 */
final class AffinityOrder {
  private AffinityOrder() {}

  /**
   * Orders servers for a prompt.
   *
   * @param parts the prompt's parts in order
   * @param servers the service's servers
   * @return their ids, the preferred one first; empty if the prompt shares nothing
   */
  static List<String> of(List<PromptPart> parts, List<BackendServer> servers) {
    if (parts.size() < 2) {
      return List.of();
    }
    String shared = parts.get(parts.size() - 2).id();
    List<String> ids = new ArrayList<>(servers.size());
    servers.forEach(s -> ids.add(s.id()));
    ids.sort(Comparator.comparingLong(id -> weight(shared, id)));
    return ids;
  }

  private static long weight(String part, String server) {
    // A 64-bit finalizer spreads the weak hash of similar texts.
    long h = part.hashCode() * 0x9E3779B97F4A7C15L + server.hashCode();
    h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
