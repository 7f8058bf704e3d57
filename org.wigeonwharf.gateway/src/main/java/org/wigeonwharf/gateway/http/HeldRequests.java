package org.wigeonwharf.gateway.http;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.overload.FairQueue;
import org.wigeonwharf.gateway.overload.QueuedRequest;
import org.wigeonwharf.gateway.overload.ServerUsage;
import org.wigeonwharf.gateway.placement.Demand;
import org.wigeonwharf.gateway.placement.ServiceLoad;
import org.wigeonwharf.gateway.route.AllowedRegions;
import org.wigeonwharf.model.Clock;

/**
 * Holds requests until a server has room or the first configuration is available.
 *
 * <p>Requests for the same servers are dispatched in the order of a fair queue. Once one of them
 * has found no room, those behind it that need no less are not tried, and new requests wait behind
 * those that are not less urgent.
 */
final class HeldRequests {
  private static final Logger LOG = LoggerFactory.getLogger(HeldRequests.class);

  /** Factor by which a request has to be smaller than one that found no room to be tried. */
  private static final int SMALLER_FACTOR = 2;

  private final Clock clock;
  private final FairQueue<Exchange> queue;
  private final Set<Exchange> withoutConfiguration = new LinkedHashSet<>();
  private final Map<Servers, Long> full = new HashMap<>();

  /** Identifies the servers that requests may go to. */
  private record Servers(String service, AllowedRegions regions, @Nullable String softwareVersion) {
    static Servers of(Demand d) {
      return new Servers(d.service(), d.regions(), d.softwareVersion());
    }
  }

  HeldRequests(Clock clock, ServerUsage usage) {
    this.clock = clock;
    this.queue = new FairQueue<>(usage);
  }

  void add(Exchange e) {
    QueuedRequest r = e.describe();
    if (r == null) {
      withoutConfiguration.add(e);
    } else {
      queue.add(e, r);
    }
  }

  /** Removes a request; returns whether it was held. */
  boolean remove(Exchange e) {
    return withoutConfiguration.remove(e) | queue.remove(e);
  }

  /**
   * Tells whether a new request has to wait, because requests for the same servers that are not
   * less urgent have found no room.
   */
  boolean precede(Demand d) {
    Long least = full.get(Servers.of(d));
    if (least == null || SMALLER_FACTOR * tokens(d) < least) {
      return false;
    }
    Servers servers = Servers.of(d);
    return queue.values().stream()
        .anyMatch(e -> e.hasNoRoom() && e.priority() <= d.priority() && isFor(servers, e));
  }

  private static boolean isFor(Servers servers, Exchange e) {
    Demand d = e.demand();
    return d != null && servers.equals(Servers.of(d));
  }

  private static long tokens(Demand d) {
    return (long) d.promptTokens() + d.outputTokens();
  }

  /** Returns the slot time in ms that the requests of its service ahead of a held one need. */
  double slotMillisAhead(Exchange held) {
    QueuedRequest r = queue.find(held);
    double sum = 0;
    if (r != null) {
      for (Exchange e : queue.inOrder(clock.nanos())) {
        if (e == held) {
          break;
        }
        sum += slotMillis(r.service(), queue.find(e));
      }
    }
    return sum;
  }

  private static double slotMillis(String service, @Nullable QueuedRequest r) {
    return r == null || !r.service().equals(service) ? 0 : r.slotMillis();
  }

  /**
   * Dispatches each held request again in order; those that still find no server are held again, or
   * refused if no server can answer them in time.
   */
  void retry() {
    for (Exchange e : List.copyOf(withoutConfiguration)) {
      if (withoutConfiguration.remove(e)) {
        dispatch(e);
      }
    }
    full.clear();
    Map<Servers, ServiceLoad> loads = new HashMap<>();
    Map<String, Double> slotMillisAhead = new HashMap<>();
    for (Exchange e : queue.inOrder(clock.nanos())) {
      QueuedRequest r = queue.find(e);
      Demand d = e.demand();
      if (r == null || d == null) {
        continue;
      }
      Long least = full.get(Servers.of(d));
      if (least == null || SMALLER_FACTOR * tokens(d) < least) {
        queue.remove(e);
        dispatch(e);
      } else {
        ServiceLoad load = loads.computeIfAbsent(Servers.of(d), s -> e.load());
        e.review(load, slotMillisAhead.getOrDefault(d.service(), 0.0));
      }
      slotMillisAhead.merge(d.service(), slotMillis(d.service(), queue.find(e)), Double::sum);
    }
  }

  /** Records that a request found no room. */
  void recordFull(Demand d) {
    full.merge(Servers.of(d), tokens(d), Math::min);
  }

  /** Dispatches one request; its failure must not keep the others waiting. */
  private static void dispatch(Exchange e) {
    try {
      e.dispatchInTurn();
    } catch (RuntimeException x) {
      LOG.atError()
          .addKeyValue("event", "dispatch.failed")
          .addKeyValue("request", String.valueOf(e.requestId()))
          .addKeyValue("reason", String.valueOf(x))
          .setCause(x)
          .log("a held request could not be dispatched; it ends at its deadline");
    }
  }

  int size() {
    return withoutConfiguration.size() + queue.size();
  }
}
