package org.wigeonwharf.gateway.http;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.overload.QueuedRequest;
import org.wigeonwharf.gateway.overload.UrgentHeadroom;
import org.wigeonwharf.gateway.placement.Candidate;
import org.wigeonwharf.gateway.placement.Choice;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.ServiceLoad;
import org.wigeonwharf.gateway.route.EngineSpec;
import org.wigeonwharf.gateway.route.ServiceSpec;

/**
 * Chooses the server of one request at one moment, such that it leaves room for more urgent ones.
 */
final class ServerSelection {
  /** Maximum number of servers without such room after which no further one is tried. */
  private static final int MAX_ALTERNATIVES = 3;

  /** Fraction of slots in use from which places in the queues of servers are kept. */
  private static final double SCARCE_UTILIZATION = 0.9;

  private final ExchangeManager manager;
  private final Admission admission;
  private final @Nullable QueuedRequest needs;
  private final List<BackendServer> servers;
  private final boolean canWait;
  private final long now;

  /**
   * Creates a selection.
   *
   * @param manager the objects that all exchanges share
   * @param admission the request's admission
   * @param needs what the request needs, or null if it need not leave room
   * @param servers the usable servers in the order of their ids
   * @param canWait true if the request can wait for a less busy server
   * @param now the current time in nanoseconds
   */
  ServerSelection(
      ExchangeManager manager,
      Admission admission,
      @Nullable QueuedRequest needs,
      List<BackendServer> servers,
      boolean canWait,
      long now) {
    this.manager = manager;
    this.admission = admission;
    this.needs = needs;
    this.servers = servers;
    this.canWait = canWait;
    this.now = now;
  }

  /**
   * Chooses the server with the lowest cost that has room, or else the one with the lowest cost if
   * the servers are not overloaded. A request waits for memory only while it can wait, since
   * promised memory is not all used.
   *
   * @param tried ids that the request was already sent to
   * @param firstChoice true if this is the request's first choice, which counts as demand
   * @return the choice, or null if no server may receive the request now
   */
  @Nullable Choice choose(Set<String> tried, boolean firstChoice) {
    Choice first = lowestCost(tried, firstChoice);
    if (first == null || needs == null || hasRoom(first, needs)) {
      return first;
    }
    Set<String> excluded = new HashSet<>(tried);
    Choice next = first;
    for (int i = 0; i < MAX_ALTERNATIVES && next != null; i++) {
      excluded.add(next.candidate().server().id());
      next = lowestCost(excluded, false);
      if (next != null && hasRoom(next, needs)) {
        return next;
      }
    }
    boolean waitsForMemory = canWait && !headroom().keepsMemory(needs, tokens(), room(first));
    return waitsForMemory || isScarce() ? null : first;
  }

  private @Nullable Choice lowestCost(Set<String> excluded, boolean firstChoice) {
    return manager
        .chooser()
        .choose(
            admission.demand(),
            admission.table().service(admission.service()),
            servers,
            excluded,
            canWait,
            firstChoice,
            now);
  }

  private boolean hasRoom(Choice c, QueuedRequest r) {
    return headroom().keepsPlaces(r, room(c)) && headroom().keepsMemory(r, tokens(), room(c));
  }

  private boolean isScarce() {
    ServiceLoad load = manager.chooser().load(servers, now);
    return load.taken() >= SCARCE_UTILIZATION * load.slots();
  }

  private UrgentHeadroom headroom() {
    return manager.overload().headroom();
  }

  private long tokens() {
    Demand d = admission.demand();
    return (long) d.promptTokens() + d.outputTokens();
  }

  private UrgentHeadroom.Room room(Choice choice) {
    ServiceSpec spec = admission.table().service(admission.service());
    EngineSpec engine = spec == null ? null : spec.engine();
    Candidate c = choice.candidate();
    return new UrgentHeadroom.Room(
        c.load(),
        c.server().slots(),
        c.work().kvCacheTokens(),
        engine == null ? 0 : engine.kvCacheTokens());
  }
}
