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

  /** Least tokens that are worth the set-up of a fetch. */
  private static final int MIN_FETCH_TOKENS = 64;

  /** Least tokens that are worth a fetch that may find nothing. */
  private static final int MIN_GUESS_TOKENS = 1_000;

  /** Unread tokens from which an engine counts as reading long prompts: some chunks. */
  private static final int BULK_TOKENS = 6_000;

  private final FailureDomain domain;
  private final WorkLedger ledger;
  private final PromptLedger prompts;
  private final ServerPenalties penalties;
  private final Map<String, ServerStats> stats = new HashMap<>();
  private final Map<String, ReadingSpeed> speeds = new HashMap<>();

  /**
   * Creates a chooser.
   *
   * @param domain the router's own failure domain
   * @param ledger the work under way
   * @param prompts the prompts that engines have read
   * @param penalties prices of distance and failures
   */
  public ServerChooser(
      FailureDomain domain, WorkLedger ledger, PromptLedger prompts, ServerPenalties penalties) {
    this.domain = domain;
    this.ledger = ledger;
    this.prompts = prompts;
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
    EngineSpec engine = service == null ? null : service.engine();
    PlacementPolicy policy = policy(demand, engine);
    List<Candidate> candidates = candidates(demand, engine, servers, now);
    Candidate best = null;
    double least = Double.POSITIVE_INFINITY;
    for (Candidate c : candidates) {
      double cost =
          tried.contains(c.server().id()) ? Double.POSITIVE_INFINITY : policy.cost(demand, c);
      if (cost < least) {
        best = c;
        least = cost;
      }
    }
    if (best == null || patient && policy.isBusy(demand, best)) {
      return null;
    }
    BackendServer source = memorySource(demand, engine, candidates, best);
    return new Choice(best, least, source, policy.unreadTokens(demand, best));
  }

  private PlacementPolicy policy(Demand demand, @Nullable EngineSpec engine) {
    if (engine == null || !demand.isPrompt()) {
      return new PlainPlacement(penalties);
    }
    return new PromptPlacement(penalties, speed(demand.service()), engine);
  }

  /**
   * Finds where an engine should fetch the prompt's beginning: from the engine that keeps most of
   * it; if nobody is known to keep a long one, from its home, where it was read if this router just
   * does not know.
   */
  private static @Nullable BackendServer memorySource(
      Demand demand, @Nullable EngineSpec engine, List<Candidate> candidates, Candidate best) {
    int missing = demand.sharedTokens() - best.rememberedTokens();
    if (engine == null || !engine.canFetch() || missing < MIN_FETCH_TOKENS) {
      return null;
    }
    Candidate keeper = keeper(candidates);
    if (keeper != null && best.keptElsewhereTokens() >= MIN_FETCH_TOKENS) {
      return keeper.server();
    }
    for (Candidate c : candidates) {
      boolean mayKeep = c.home() && c != best && c.state() == Candidate.State.SOUND;
      if (mayKeep && missing >= MIN_GUESS_TOKENS) {
        return c.server();
      }
    }
    return null;
  }

  private static @Nullable Candidate keeper(List<Candidate> candidates) {
    Candidate keeper = null;
    for (Candidate c : candidates) {
      boolean more = keeper == null || c.rememberedTokens() > keeper.rememberedTokens();
      if (c.state() == Candidate.State.SOUND && more) {
        keeper = c;
      }
    }
    return keeper;
  }

  private List<Candidate> candidates(
      Demand demand, @Nullable EngineSpec engine, List<BackendServer> servers, long now) {
    Map<FailureDomain, Integer> behind = new HashMap<>();
    servers.forEach(s -> behind.merge(s.domain(), 1, Integer::sum));
    String home = PromptHome.of(demand.parts(), servers);
    int most = 0;
    for (BackendServer s : servers) {
      if (engine != null) {
        prompts.limit(s.id(), (long) (REMEMBERED_PART * engine.memoryTokens()));
      }
      if (stats(s.id(), now).state(now) == Candidate.State.SOUND) {
        most = Math.max(most, prompts.remembered(s.id(), demand.parts()));
      }
    }
    List<Candidate> found = new ArrayList<>(servers.size());
    for (BackendServer s : servers) {
      int rest = behind.merge(s.domain(), -1, Integer::sum);
      found.add(look(demand, s, rest, s.id().equals(home), most, now));
    }
    return found;
  }

  private Candidate look(
      Demand demand, BackendServer server, int behind, boolean home, int mostKept, long now) {
    ServerStats s = stats(server.id(), now);
    ServerWork work = ledger.at(server.id(), now);
    s.look(work.prefillTokens() >= BULK_TOKENS, work.tightness(), now);
    int remembered = prompts.remembered(server.id(), demand.parts());
    return new Candidate(
        server,
        server.domain().equals(domain),
        behind,
        home,
        work,
        s.reportedLoad(now),
        s.slowdown(now),
        s.reportAgeMillis(now),
        s.failureRate(now),
        s.state(now),
        remembered,
        Math.max(0, mostKept - remembered),
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
    stats(id, now).sent(now);
    prompts.sent(id, demand.parts(), now);
    return ledger.enter(id, demand, choice.unreadTokens());
  }

  /**
   * Notes the head of an answer, or that the wait for it was given up.
   *
   * @param server the server's id
   * @param heard true if the server answered
   * @param now the current time in nanoseconds
   */
  public void settled(String server, boolean heard, long now) {
    stats(server, now).settled(heard, now);
  }

  /**
   * Notes a server's report of its load.
   *
   * @param server the server's id
   * @param report what it said
   * @param now the current time in nanoseconds
   */
  public void reported(String server, LoadReport report, long now) {
    stats(server, now).reported(report, now);
  }

  /**
   * Notes how a request ended at a server.
   *
   * @param server the server's id
   * @param failed true if it failed there
   * @param now the current time in nanoseconds
   */
  public void ended(String server, boolean failed, long now) {
    stats(server, now).ended(failed, now);
  }

  /**
   * Notes that a server said it is full.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void full(String server, long now) {
    stats(server, now).full(now);
  }

  /**
   * Notes that a server could not be reached.
   *
   * @param server the server's id
   * @param now the current time in nanoseconds
   */
  public void unreachable(String server, long now) {
    stats(server, now).unreachable(now);
  }

  /**
   * Forgets servers that are gone.
   *
   * @param known the ids that the directory still holds
   */
  public void retain(Collection<String> known) {
    stats.keySet().retainAll(known);
    prompts.retain(known);
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

  private ServerStats stats(String id, long now) {
    return stats.computeIfAbsent(id, i -> new ServerStats(now));
  }
}
