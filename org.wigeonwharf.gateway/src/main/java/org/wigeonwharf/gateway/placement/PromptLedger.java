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
public final class PromptLedger {
  /** How long, in ms, an own read can be told to peers: some messages to the farthest ones. */
  private static final long TOLD_MILLIS = 1_300;

  /** Reads told in one message, so that it fits one packet. */
  private static final int MAX_TOLD = 40;

  /** Tokens that an engine is expected to keep until the size of its memory is known. */
  private static final long UNKNOWN_CAPACITY = 200_000;

  private final Map<String, PromptMemory> engines = new HashMap<>();
  private final Deque<Read> own = new ArrayDeque<>();

  private record Read(String server, List<PromptPart> shared, long at) {}

  /**
   * Notes a prompt that this router sends to an engine.
   *
   * @param server the engine's id
   * @param parts the prompt's parts in order
   * @param now the current time in nanoseconds
   */
  public void sent(String server, List<PromptPart> parts, long now) {
    engine(server).read(parts);
    if (parts.size() > 1) {
      own.addLast(new Read(server, List.copyOf(parts.subList(0, parts.size() - 1)), now));
    }
    while (!own.isEmpty() && now - own.getFirst().at > TOLD_MILLIS * Clock.NANOS_PER_MILLI) {
      own.removeFirst();
    }
  }

  /**
   * Returns what this router has sent lately, to tell peers.
   *
   * @param maxAgeNanos how old it may be
   * @param now the current time in nanoseconds
   * @return shared parts by engine id, the newest sends first, bounded
   */
  public Map<String, List<PromptPart>> own(long maxAgeNanos, long now) {
    Map<String, List<PromptPart>> told = new LinkedHashMap<>();
    Iterator<Read> newest = own.descendingIterator();
    for (int n = 0; n < MAX_TOLD && newest.hasNext(); n++) {
      Read r = newest.next();
      if (now - r.at > maxAgeNanos) {
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
   * @param reads shared parts by engine id
   */
  public void heard(Map<String, List<PromptPart>> reads) {
    reads.forEach((server, parts) -> engine(server).read(parts));
  }

  /**
   * Counts the leading tokens of a prompt that an engine keeps.
   *
   * @param server the engine's id
   * @param parts the prompt's parts in order
   * @return tokens that it needs not read
   */
  public int remembered(String server, List<PromptPart> parts) {
    PromptMemory m = engines.get(server);
    return m == null ? 0 : m.remembered(parts);
  }

  /**
   * Sets how much an engine is expected to keep.
   *
   * @param server the engine's id
   * @param tokens tokens beside its running work
   */
  public void limit(String server, long tokens) {
    engine(server).limit(tokens);
  }

  /**
   * Forgets engines that are gone.
   *
   * @param known the ids that are still known
   */
  public void retain(Collection<String> known) {
    engines.keySet().retainAll(known);
  }

  private PromptMemory engine(String server) {
    return engines.computeIfAbsent(server, s -> new PromptMemory(UNKNOWN_CAPACITY));
  }
}
