package org.wigeonwharf.gateway.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.ServiceSpec;
import org.wigeonwharf.model.FailureDomain;

/**
 * A ServerChooser picks the server for a request from what routers know of the work under way and
 * from what this router has seen of each server. Not safe for threads.
 */
public final class ServerChooser {
  /** Part of an engine's memory that is expected to keep prompts beside running work. */
  private static final double REMEMBERED_PART = 0.5;

  /** Tokens kept by servers whose memory is not known: none. */
  private static final long NO_MEMORY = 0;

  /** Unread tokens from which an engine counts as reading long prompts: some chunks. */
  private static final int BULK_TOKENS = 6_000;

  private final FailureDomain domain;
  private final WorkLedger ledger;
  private final ServerPenalties penalties;
  private final Map<String, ServerStats> stats = new HashMap<>();
  private final Map<String, ReadingSpeed> speeds = new HashMap<>();

  /**
   * Creates a chooser.
   *
   * @param domain the router's own failure domain
   * @param ledger the work under way
   * @param penalties prices of distance and failures
   */
  public ServerChooser(FailureDomain domain, WorkLedger ledger, ServerPenalties penalties) {
    this.domain = domain;
    this.ledger = ledger;
    this.penalties = penalties;
  }

  /**
   * Picks the cheapest server.
   *
   * @param demand the request
   * @param service the service's description, or null if it is not published
   * @param servers the usable servers in the order of their ids
   * @param tried ids that the request was already sent to
   * @param patient true if the request can wait for a server that has less to do
   * @param now the current time in nanoseconds
   * @return the choice, or null if no server may get the request now
   */
  public @Nullable Choice choose(
      Demand demand,
      @Nullable ServiceSpec service,
      List<BackendServer> servers,
      Set<String> tried,
      boolean patient,
      long now) {
    PlacementPolicy policy = policy(demand, service);
    Choice best = null;
    for (Candidate c : candidates(demand, service, servers, now)) {
      if (tried.contains(c.server().id())) {
        continue;
      }
      double cost = policy.cost(demand, c);
      if (cost < (best == null ? Double.POSITIVE_INFINITY : best.costMillis())) {
        best = new Choice(c, cost);
      }
    }
    boolean waits = patient && best != null && policy.isBusy(demand, best.candidate());
    return waits ? null : best;
  }

  private PlacementPolicy policy(Demand demand, @Nullable ServiceSpec service) {
    EngineSpec engine = service == null ? null : service.engine();
    if (engine == null || !demand.isPrompt()) {
      return new PlainPlacement(penalties);
    }
    return new PromptPlacement(penalties, speed(demand.service()), engine.memoryTokens());
  }

  private List<Candidate> candidates(
      Demand demand, @Nullable ServiceSpec service, List<BackendServer> servers, long now) {
    Map<FailureDomain, Integer> behind = new HashMap<>();
    servers.forEach(s -> behind.merge(s.domain(), 1, Integer::sum));
    List<String> order = AffinityOrder.of(demand.parts(), servers);
    List<Candidate> found = new ArrayList<>(servers.size());
    for (BackendServer s : servers) {
      int rest = behind.merge(s.domain(), -1, Integer::sum);
      found.add(look(demand, service, s, rest, order.indexOf(s.id()), now));
    }
    return found;
  }

  private Candidate look(
      Demand demand,
      @Nullable ServiceSpec service,
      BackendServer server,
      int behind,
      int affinityRank,
      long now) {
    ServerStats s = stats(server.id(), service, now);
    ServerWork work = ledger.at(server.id(), now);
    s.look(work.prefillTokens() >= BULK_TOKENS, work.tightness(), now);
    return new Candidate(
        server,
        server.domain().equals(domain),
        behind,
        Math.max(0, affinityRank),
        work,
        s.reportedLoad(now),
        s.slowdown(now),
        s.reportAgeMillis(now),
        s.failureRate(now),
        s.state(now),
        s.memory().remembered(demand.parts()),
        s.usualTightness(),
        s.bulkShare());
  }

  /**
   * Notes that a request is sent.
   *
   * @param demand the request
   * @param choice where it goes
   * @param now the current time in nanoseconds
   * @return the request's entry in the ledger
   */
  public WorkLedger.Ticket sent(Demand demand, Choice choice, long now) {
    String id = choice.candidate().server().id();
    int unread = Math.max(0, demand.promptTokens() - choice.candidate().rememberedTokens());
    ServerStats s = stats(id, null, now);
    s.sent(now);
    s.memory().read(demand.parts());
    return ledger.enter(id, demand, unread);
  }

  /**
   * Notes the head of an answer, or that the wait for it was given up.
   *
   * @param server the server's id
   * @param heard true if the server answered
   * @param now the current time in nanoseconds
   */
  public void settled(String server, boolean heard, long now) {
    stats(server, null, now).settled(heard, now);
  }

  /**
   * Notes a server's report of its load.
   *
   * @param server the server's id
   * @param report what it said
   * @param now the current time in nanoseconds
   */
  public void reported(String server, LoadReport report, long now) {
    stats(server, null, now).reported(report, now);
  }

  /**
   * Notes how a request ended at a server.
   *
   * @param server the server's id
   * @param failed true if it failed there
   * @param now the current time in nanoseconds
   */
  public void ended(String server, boolean failed, long now) {
    stats(server, null, now).ended(failed, now);
  }

  /**
   * Notes that a server said it is full.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void full(String server, long now) {
    stats(server, null, now).full(now);
  }

  /**
   * Notes that a server could not be reached.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void unreachable(String server, long now) {
    stats(server, null, now).unreachable(now);
  }

  /**
   * Forgets servers that are gone.
   *
   * @param known the ids that the directory still holds
   */
  public void retain(Collection<String> known) {
    stats.keySet().retainAll(known);
  }

  /**
   * Returns how fast the engines of a service read prompts.
   *
   * @param service the service's name
   * @return what was learnt so far
   */
  public ReadingSpeed speed(String service) {
    return speeds.computeIfAbsent(service, s -> new ReadingSpeed());
  }

  private ServerStats stats(String id, @Nullable ServiceSpec service, long now) {
    ServerStats s = stats.get(id);
    if (s == null) {
      EngineSpec engine = service == null ? null : service.engine();
      long tokens = engine == null ? NO_MEMORY : (long) (REMEMBERED_PART * engine.memoryTokens());
      s = new ServerStats(new PromptMemory(tokens), now);
      stats.put(id, s);
    }
    return s;
  }
}
