package org.wigeonwharf.gateway.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.model.Clock;

/**
 * A PromptLedger remembers which shared prompt parts each model engine has read lately: those that
 * this router sent there, and those that its peers tell of. Not safe for threads.
 */
public final class PrefixCacheIndex {
  /** How long, in ms, an own read can be told to peers: some messages to the farthest ones. */
  private static final long ADVERTISE_MILLIS = 1_300;

  /** Reads told in one message, so that it fits one packet. */
  private static final int MAX_ADVERTISED_SENDS = 40;

  /** Tokens that an engine is expected to keep until the size of its memory is known. */
  private static final long DEFAULT_CAPACITY_TOKENS = 200_000;

  private final Map<String, PrefixCacheEstimate> caches = new HashMap<>();
  private final Deque<Send> recentSends = new ArrayDeque<>();

  private record Send(String server, List<PromptPart> shared, long sentAt) {}

  /**
   * Notes a prompt that this router sends to an engine.
   *
   * @param server the engine's id
   * @param parts the prompt's parts in order
   * @param now the current time in nanoseconds
   */
  public void recordSent(String server, List<PromptPart> parts, long now) {
    cacheOf(server).recordPrompt(parts);
    if (parts.size() > 1) {
      recentSends.addLast(new Send(server, List.copyOf(parts.subList(0, parts.size() - 1)), now));
    }
    while (!recentSends.isEmpty()
        && now - recentSends.getFirst().sentAt > ADVERTISE_MILLIS * Clock.NANOS_PER_MILLI) {
      recentSends.removeFirst();
    }
  }

  /**
   * Returns what this router has sent lately, to tell peers.
   *
   * @param maxAgeNanos how old it may be
   * @param now the current time in nanoseconds
   * @return shared parts by engine id, the newest sends first, bounded
   */
  public Map<String, List<PromptPart>> recentSends(long maxAgeNanos, long now) {
    Map<String, List<PromptPart>> told = new LinkedHashMap<>();
    Iterator<Send> newest = recentSends.descendingIterator();
    for (int n = 0; n < MAX_ADVERTISED_SENDS && newest.hasNext(); n++) {
      Send r = newest.next();
      if (now - r.sentAt > maxAgeNanos) {
        break;
      }
      List<PromptPart> parts = told.computeIfAbsent(r.server, s -> new ArrayList<>());
      r.shared.stream().filter(p -> !parts.contains(p)).forEach(parts::add);
    }
    return told;
  }

  /**
   * Notes what a peer has sent to engines.
   *
   * @param sends shared parts by engine id
   */
  public void recordPeerSends(Map<String, List<PromptPart>> sends) {
    sends.forEach((server, parts) -> cacheOf(server).recordPrompt(parts));
  }

  /**
   * Counts the leading tokens of a prompt that an engine keeps.
   *
   * @param server the engine's id
   * @param parts the prompt's parts in order
   * @return tokens that it needs not read
   */
  public int cachedTokens(String server, List<PromptPart> parts) {
    PrefixCacheEstimate cache = caches.get(server);
    return cache == null ? 0 : cache.cachedTokens(parts);
  }

  /**
   * Sets how much an engine is expected to keep.
   *
   * @param server the engine's id
   * @param tokens tokens beside its running work
   */
  public void setCapacity(String server, long tokens) {
    cacheOf(server).setCapacity(tokens);
  }

  /**
   * Forgets engines that are gone.
   *
   * @param known the ids that are still known
   */
  public void retainServers(Collection<String> known) {
    caches.keySet().retainAll(known);
  }

  private PrefixCacheEstimate cacheOf(String server) {
    return caches.computeIfAbsent(server, s -> new PrefixCacheEstimate(DEFAULT_CAPACITY_TOKENS));
  }
}
