package org.wigeonwharf.gateway.placement;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.RendezvousWeight;

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
      long w = RendezvousWeight.of(lastSharedId, s.id());
      if (owner == null || w < minWeight) {
        owner = s.id();
        minWeight = w;
      }
    }
    return owner;
  }
}
