package org.wigeonwharf.gateway.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.wigeonwharf.model.Clock;

/**
 * Tracks which shared prompt parts each model engine is expected to hold in its prefix cache, from
 * the prompts that this router and its peers have sent. Not thread-safe.
 */
public final class PrefixCacheIndex {
  /**
   * Maximum age in ms of a send that is advertised to peers. It spans several messages to routers
   * of other failure domains.
   */
  private static final long SENDS_MAX_AGE_MILLIS = 1_300;

  /** Maximum number of sends advertised in one message, so that it fits in one packet. */
  private static final int MAX_ADVERTISED_SENDS = 40;

  /**
   * Maximum number of parts of an advertised prompt; callers choose their number and ids freely.
   */
  private static final int MAX_ADVERTISED_PARTS = 16;

  private static final int MAX_ADVERTISED_ID_LENGTH = 32;

  /** Assumed prefix cache size of an engine, in tokens, until its KV cache size is known. */
  private static final long DEFAULT_CAPACITY_TOKENS = 200_000;

  private final Map<String, PrefixCacheEstimate> caches = new HashMap<>();
  private final Map<String, Set<String>> holders = new HashMap<>();
  private final Deque<Send> recentSends = new ArrayDeque<>();
  private final Deque<Send> recentDomainSends = new ArrayDeque<>();

  private record Send(String server, List<PromptPart> shared, long sentAt) {}

  /**
   * Records that this router sends a prompt to an engine.
   *
   * @param server the engine's id
   * @param parts the prompt's parts in order
   * @param now the current time in nanoseconds
   */
  public void recordSent(String server, List<PromptPart> parts, long now) {
    cacheOf(server).recordPrompt(parts);
    if (parts.size() > 1 && isAdvertisable(parts)) {
      Send send = new Send(server, List.copyOf(parts.subList(0, parts.size() - 1)), now);
      addRecent(recentSends, send);
      addRecent(recentDomainSends, send);
    }
  }

  private static boolean isAdvertisable(List<PromptPart> parts) {
    return parts.size() <= MAX_ADVERTISED_PARTS
        && parts.stream().allMatch(p -> p.id().length() <= MAX_ADVERTISED_ID_LENGTH);
  }

  private static void addRecent(Deque<Send> sends, Send send) {
    sends.addLast(send);
    while (send.sentAt - sends.getFirst().sentAt > SENDS_MAX_AGE_MILLIS * Clock.NANOS_PER_MILLI) {
      sends.removeFirst();
    }
  }

  /**
   * Returns the shared parts that this router has sent recently, to be advertised to peers.
   *
   * @param maxAgeNanos the maximum age of a send
   * @param now the current time in nanoseconds
   * @return shared parts by engine id, most recent sends first; limited to what fits in one packet
   */
  public Map<String, List<PromptPart>> recentSends(long maxAgeNanos, long now) {
    return newestFirst(recentSends, maxAgeNanos, now);
  }

  /**
   * Returns the shared parts that the routers of this failure domain have sent recently, to be
   * advertised to other failure domains.
   *
   * @param maxAgeNanos the maximum age of a send
   * @param now the current time in nanoseconds
   * @return shared parts by engine id, most recent sends first; limited to what fits in one packet
   */
  public Map<String, List<PromptPart>> recentDomainSends(long maxAgeNanos, long now) {
    return newestFirst(recentDomainSends, maxAgeNanos, now);
  }

  private static Map<String, List<PromptPart>> newestFirst(
      Deque<Send> sends, long maxAgeNanos, long now) {
    Map<String, List<PromptPart>> advertised = new LinkedHashMap<>();
    Iterator<Send> newest = sends.descendingIterator();
    int added = 0;
    while (added < MAX_ADVERTISED_SENDS && newest.hasNext()) {
      Send send = newest.next();
      if (now - send.sentAt > maxAgeNanos) {
        break;
      }
      List<PromptPart> parts = advertised.computeIfAbsent(send.server, s -> new ArrayList<>());
      List<PromptPart> missing = send.shared.stream().filter(p -> !parts.contains(p)).toList();
      parts.addAll(missing);
      added += missing.isEmpty() ? 0 : 1;
    }
    return advertised;
  }

  /**
   * Records the prompts that a peer of this failure domain has sent to engines.
   *
   * @param sends shared parts by engine id
   * @param now the current time in nanoseconds
   */
  public void recordDomainSends(Map<String, List<PromptPart>> sends, long now) {
    recordRemoteSends(sends);
    sends.forEach(
        (server, parts) -> addRecent(recentDomainSends, new Send(server, List.copyOf(parts), now)));
  }

  /**
   * Records the prompts that routers of other failure domains have sent to engines.
   *
   * @param sends shared parts by engine id
   */
  public void recordRemoteSends(Map<String, List<PromptPart>> sends) {
    sends.forEach((server, parts) -> cacheOf(server).recordPrompt(parts));
  }

  /**
   * Returns how many leading tokens of a prompt an engine is expected to have cached.
   *
   * @param server the engine's id
   * @param parts the prompt's parts in order
   * @return number of tokens that need no prefill
   */
  public int cachedTokens(String server, List<PromptPart> parts) {
    PrefixCacheEstimate cache = caches.get(server);
    return cache == null ? 0 : cache.cachedTokens(parts);
  }

  /**
   * Returns engines that are expected to have the most of a prompt cached: those that hold the last
   * of its parts that any engine holds.
   *
   * @param parts the prompt's parts in order
   * @param usable tells by its id whether an engine may be used
   * @param limit the maximum number of engines
   * @return the engines' ids, those that have held the part longest first
   */
  List<String> holders(List<PromptPart> parts, Predicate<String> usable, int limit) {
    List<String> found = new ArrayList<>();
    for (int i = parts.size() - 1; i >= 0 && found.isEmpty(); i--) {
      for (String server : holders.getOrDefault(parts.get(i).id(), Set.of())) {
        if (found.size() < limit && usable.test(server)) {
          found.add(server);
        }
      }
    }
    return found;
  }

  /**
   * Sets the prefix cache size of an engine.
   *
   * @param server the engine's id
   * @param tokens prefix cache size in tokens, excluding the KV cache of running requests
   */
  public void setCapacity(String server, long tokens) {
    cacheOf(server).setCapacity(tokens);
  }

  /**
   * Removes all engines except the given ones.
   *
   * @param known the ids of the engines to keep
   */
  public void retainServers(Collection<String> known) {
    Set<String> kept = Set.copyOf(known);
    caches.forEach(
        (server, cache) -> {
          if (!kept.contains(server)) {
            cache.clear();
          }
        });
    caches.keySet().retainAll(kept);
  }

  private PrefixCacheEstimate cacheOf(String server) {
    return caches.computeIfAbsent(
        server, s -> new PrefixCacheEstimate(DEFAULT_CAPACITY_TOKENS, new HolderRecorder(s)));
  }

  /** Keeps the holders of each part up to date with one engine's cache. */
  private final class HolderRecorder implements PrefixCacheEstimate.Listener {
    private final String server;

    HolderRecorder(String server) {
      this.server = server;
    }

    @Override
    public void onAdded(String part) {
      holders.computeIfAbsent(part, p -> new LinkedHashSet<>(2)).add(server);
    }

    @Override
    public void onEvicted(String part) {
      holders.computeIfPresent(
          part,
          (p, servers) -> {
            servers.remove(server);
            return servers.isEmpty() ? null : servers;
          });
    }
  }
}
