package org.wigeonwharf.gateway.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.model.FailureDomain;

/**
 * Groups the servers that a kind of request may be sent to, and draws a few of them as candidates,
 * so that a choice costs nearly the same with any number of servers, and routers that know the same
 * outdated facts choose different servers.
 *
 * <p>The servers with the highest ids of each failure domain form the interactive set, which
 * latency-sensitive streams fill first. Its size follows from the streams that run on all servers;
 * this sum changes slowly, so that all routers agree on it although their facts differ in age. A
 * pool of few servers is not sampled: all of them are candidates, and the interactive set is the
 * last server of each failure domain. Not thread-safe.
 */
final class ServerPool {
  /** Maximum number of servers of which all are candidates of each request. */
  static final int MAX_UNSAMPLED_SERVERS = 12;

  /** Number of draws from the router's own failure domain. */
  private static final int LOCAL_DRAWS = 3;

  /** Number of draws from all servers. */
  private static final int DRAWS = 2;

  /** Maximum number of candidates that have the prompt's prefix cached. */
  private static final int MAX_HOLDERS = 4;

  /** Maximum number of candidates that are considered if the pool is sampled. */
  static final int MAX_SAMPLED_CANDIDATES = LOCAL_DRAWS + DRAWS + MAX_HOLDERS + 2;

  /** Fraction of the interactive set's slots that latency-sensitive streams take on average. */
  private static final double INTERACTIVE_UTILIZATION = 0.5;

  /**
   * Minimum fraction of the servers in the interactive set, also if this router knows of no streams
   * of its peers.
   */
  private static final double MIN_INTERACTIVE_FRACTION = 0.15;

  private final Map<String, Integer> positions = new HashMap<>();
  private final Map<FailureDomain, List<Integer>> byDomain = new HashMap<>();
  private final int[] serversAfter;
  private final int slots;
  private List<BackendServer> servers;
  private int interactiveSetSize = 1;

  /**
   * Creates a pool.
   *
   * @param servers the servers in the order of their ids
   */
  ServerPool(List<BackendServer> servers) {
    this.servers = List.copyOf(servers);
    this.serversAfter = new int[servers.size()];
    this.slots = servers.stream().mapToInt(BackendServer::slots).max().orElse(1);
    for (BackendServer s : servers) {
      byDomain.computeIfAbsent(s.domain(), d -> new ArrayList<>()).add(positions.size());
      positions.put(s.id(), positions.size());
    }
    for (List<Integer> domain : byDomain.values()) {
      for (int i = 0; i < domain.size(); i++) {
        serversAfter[domain.get(i)] = domain.size() - 1 - i;
      }
    }
  }

  /**
   * Adopts the present state of the pool's servers, as published last.
   *
   * @param current servers in the order of their ids
   * @return false if these are other servers than those of the pool
   */
  boolean adopt(List<BackendServer> current) {
    if (current.size() != servers.size()) {
      return false;
    }
    boolean same = true;
    for (int i = 0; i < current.size(); i++) {
      BackendServer a = current.get(i);
      BackendServer b = servers.get(i);
      same &= a == b;
      if (a != b && !hasSamePlace(a, b)) {
        return false;
      }
    }
    if (!same) {
      servers = List.copyOf(current);
    }
    return true;
  }

  private static boolean hasSamePlace(BackendServer a, BackendServer b) {
    return a.id().equals(b.id()) && a.domain().equals(b.domain()) && a.slots() == b.slots();
  }

  /** Tells whether all servers of the pool are among the known ones. */
  boolean isWithin(Set<String> known) {
    return known.containsAll(positions.keySet());
  }

  /** Returns all servers in the order of their ids. */
  List<BackendServer> servers() {
    return servers;
  }

  /** Tells whether only some servers are candidates of a request. */
  boolean isSampled() {
    return servers.size() > MAX_UNSAMPLED_SERVERS;
  }

  /**
   * Adapts the size of the interactive set.
   *
   * @param sensitivity the summed latency sensitivity of the streams that run on all servers
   */
  void resizeInteractiveSet(double sensitivity) {
    if (isSampled()) {
      double minimum = MIN_INTERACTIVE_FRACTION * servers.size();
      double needed = sensitivity / (INTERACTIVE_UTILIZATION * Math.max(1, slots));
      interactiveSetSize = (int) Math.ceil(Math.max(needed, minimum) / byDomain.size());
    }
  }

  /**
   * Returns the number of servers that latency-sensitive streams fill before a server, beyond the
   * interactive set of its failure domain; 0 for the members of that set.
   *
   * @param server a server of this pool
   */
  int packingRank(BackendServer server) {
    return Math.max(0, serversAfter[position(server.id())] + 1 - interactiveSetSize);
  }

  /**
   * Draws the candidates of a request: the prefix owner, engines that have its prefix cached, and
   * random servers of the router's own failure domain and of all. Those for latency-sensitive
   * streams are drawn from the interactive set, with the next server after it, and those for other
   * requests from the remaining servers.
   *
   * @param demand the request
   * @param ownerId the id of the prefix owner, or null if there is none
   * @param domain the router's own failure domain
   * @param caches the prompts that engines are expected to have cached
   * @param random the source of the draws
   * @return the candidates, at most {@link #MAX_SAMPLED_CANDIDATES}
   */
  Set<BackendServer> draw(
      Demand demand,
      @Nullable String ownerId,
      FailureDomain domain,
      PrefixCacheIndex caches,
      RandomGenerator random) {
    Set<BackendServer> drawn = new LinkedHashSet<>();
    if (ownerId != null) {
      drawn.add(server(ownerId));
    }
    caches
        .holders(demand.parts(), positions::containsKey, MAX_HOLDERS)
        .forEach(id -> drawn.add(server(id)));
    boolean sensitive = demand.latencySensitivity() > 0;
    List<Integer> local = byDomain.getOrDefault(domain, List.of());
    for (int i = 0; i < LOCAL_DRAWS && !local.isEmpty(); i++) {
      drawn.add(drawFrom(local, sensitive, random));
    }
    for (int i = 0; i < DRAWS; i++) {
      BackendServer any = servers.get(random.nextInt(servers.size()));
      drawn.add(drawFrom(byDomain.getOrDefault(any.domain(), local), sensitive, random));
    }
    if (sensitive && local.size() > interactiveSetSize) {
      drawn.add(servers.get(local.get(local.size() - interactiveSetSize - 1)));
    }
    return drawn;
  }

  private int position(String id) {
    return Objects.requireNonNull(positions.get(id), id);
  }

  private BackendServer server(String id) {
    return servers.get(position(id));
  }

  private BackendServer drawFrom(List<Integer> domain, boolean sensitive, RandomGenerator random) {
    int others = Math.max(0, domain.size() - interactiveSetSize);
    int drawn =
        sensitive
            ? others + random.nextInt(domain.size() - others)
            : random.nextInt(others > 0 ? others : domain.size());
    return servers.get(domain.get(drawn));
  }
}
