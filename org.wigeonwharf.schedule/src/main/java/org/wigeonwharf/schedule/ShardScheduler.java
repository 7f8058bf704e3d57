package org.wigeonwharf.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.AccountLimits;
import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;

/**
 * A ShardScheduler decides which waiting request gets which slot of one shard.
 *
 * <p>It is fed by events and an injected clock and owns no thread; every call returns the decisions
 * it led to. Not thread-safe.
 */
public final class ShardScheduler {
  /** How long a grant may stay unused before it is void, in milliseconds. */
  public static final long LEASE_START_MILLIS = 1_000;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final ShardId shard;
  private final Clock clock;
  private final TreeMap<Place, Waiter> queue = new TreeMap<>();
  private final Map<RequestId, Place> places = new HashMap<>();
  private final Map<RequestId, Running> running = new HashMap<>();
  private final Map<ServerId, Integer> used = new LinkedHashMap<>();
  private Map<ServerId, BackendServer> servers = Map.of();
  private final Map<ServerId, LoadReport> reports = new HashMap<>();
  private final Map<RequestId, Long> firstTokens = new HashMap<>();
  private Map<AccountId, AccountLimits> limits = Map.of();
  private PublishedConfig config = PublishedConfig.EMPTY;
  private long arrivals;
  private long leases;
  private boolean granting = true;

  private record Place(int rank, long arrival) implements Comparable<Place> {
    @Override
    public int compareTo(Place other) {
      int c = Integer.compare(rank, other.rank);
      return c != 0 ? c : Long.compare(arrival, other.arrival);
    }
  }

  private record Waiter(SlotRequest request, long deadlineNanos) {}

  private record Running(ServerId server, ClassId serviceClass, AccountId account, long lease) {}

  /**
   * Creates a scheduler without servers.
   *
   * @param shard the shard
   * @param clock monotonic time
   */
  public ShardScheduler(ShardId shard, Clock clock) {
    this.shard = shard;
    this.clock = clock;
  }

  /**
   * Takes a new configuration into force.
   *
   * @param config the configuration
   * @param shardServers the shard's backend servers in it
   * @return decisions that follow
   */
  public List<Decision> configure(PublishedConfig config, List<BackendServer> shardServers) {
    this.config = config;
    Map<ServerId, BackendServer> next = new LinkedHashMap<>();
    shardServers.forEach(s -> next.put(s.id(), s));
    servers = next;
    return dispatch();
  }

  /**
   * Holds back or releases grants, as while routers register with a new scheduler.
   *
   * @param granting false to hold back
   * @return decisions that follow
   */
  public List<Decision> setGranting(boolean granting) {
    this.granting = granting;
    return dispatch();
  }

  /**
   * Takes a slot request; a request that waits or runs already is left as it is.
   *
   * @param request the request
   * @return decisions that follow
   */
  public List<Decision> request(SlotRequest request) {
    if (places.containsKey(request.id()) || running.containsKey(request.id())) {
      return List.of();
    }
    ClassSpec spec = config.classes().get(request.serviceClass());
    if (spec == null || !config.accounts().containsKey(request.account())) {
      return List.of(refuse(request, RefusalReason.UNKNOWN));
    }
    long budget = spec.deadline().toMillis() - request.waitedMillis();
    long deadline = clock.nanos() + budget * Clock.NANOS_PER_MILLI;
    Place place = new Place(spec.tier().rank(), arrivals++);
    queue.put(place, new Waiter(request, deadline));
    places.put(request.id(), place);
    List<Decision> decisions = new ArrayList<>(dispatch());
    shedOverflow(decisions);
    return decisions;
  }

  private void shedOverflow(List<Decision> decisions) {
    ServiceSpec service = config.services().get(shard.service());
    int limit = service == null ? 0 : service.waitingPlaces();
    while (queue.size() > limit) {
      Waiter last = queue.pollLastEntry().getValue();
      places.remove(last.request().id());
      decisions.add(refuse(last.request(), RefusalReason.CAPACITY));
    }
  }

  /**
   * Withdraws a waiting request.
   *
   * @param id the request
   */
  public void cancel(RequestId id) {
    Place place = places.remove(id);
    if (place != null) {
      queue.remove(place);
    }
  }

  /**
   * Takes the end of a lease.
   *
   * @param outcome how it ended
   * @return decisions that follow
   */
  public List<Decision> outcome(Outcome outcome) {
    release(outcome.request());
    return dispatch();
  }

  private void release(RequestId id) {
    Running r = running.remove(id);
    firstTokens.remove(id);
    if (r != null) {
      used.merge(r.server(), -1, Integer::sum);
    }
  }

  /**
   * Notes a lease that a former scheduler granted.
   *
   * @param held the lease
   */
  public void hold(HeldLease held) {
    cancel(held.request());
    if (!running.containsKey(held.request())) {
      occupy(held.request(), new Running(held.server(), held.serviceClass(), held.account(), 0));
    }
  }

  private void occupy(RequestId id, Running r) {
    running.put(id, r);
    used.merge(r.server(), 1, Integer::sum);
  }

  /**
   * Drops the waiters of a router that is gone. Its leases stay busy until {@link #expire}.
   *
   * @param node the router
   */
  public void nodeGone(NodeId node) {
    List<RequestId> gone = places.keySet().stream().filter(r -> r.origin().equals(node)).toList();
    gone.forEach(this::cancel);
  }

  /**
   * Frees the leases of a router that is gone for good.
   *
   * @param node the router
   * @return decisions that follow
   */
  public List<Decision> expire(NodeId node) {
    List<RequestId> gone = running.keySet().stream().filter(r -> r.origin().equals(node)).toList();
    gone.forEach(this::release);
    return dispatch();
  }

  /**
   * Refuses waiters past their deadline.
   *
   * @return decisions that follow
   */
  public List<Decision> tick() {
    long now = clock.nanos();
    List<Waiter> late = queue.values().stream().filter(w -> now - w.deadlineNanos() >= 0).toList();
    List<Decision> decisions = new ArrayList<>();
    for (Waiter w : late) {
      cancel(w.request().id());
      decisions.add(refuse(w.request(), RefusalReason.DEADLINE));
    }
    decisions.addAll(dispatch());
    return decisions;
  }

  /**
   * Takes a backend server's own word on its load.
   *
   * @param server the server
   * @param report its report
   * @return decisions that follow
   */
  public List<Decision> load(ServerId server, LoadReport report) {
    reports.put(server, report);
    return dispatch();
  }

  /**
   * Takes the part of each client account's limits that this shard may use.
   *
   * @param parts limits by account; an account left out has its published limits
   * @return decisions that follow
   */
  public List<Decision> setLimits(Map<AccountId, AccountLimits> parts) {
    limits = Map.copyOf(parts);
    return dispatch();
  }

  /**
   * Notes that the answer to a running request has begun.
   *
   * @param id the request
   * @param millis time from the write to the first byte of the answer, in milliseconds
   * @return decisions that follow
   */
  public List<Decision> firstToken(RequestId id, long millis) {
    if (running.containsKey(id)) {
      firstTokens.put(id, millis);
    }
    return dispatch();
  }

  /**
   * Returns what other shards need to know of this one.
   *
   * @return the load now
   */
  public ShardSummary summary() {
    int free = 0;
    for (BackendServer s : servers.values()) {
      free += s.leaving() ? 0 : Math.max(0, s.slots() - used.getOrDefault(s.id(), 0));
    }
    TreeMap<Integer, Integer> waiting = new TreeMap<>();
    Map<AccountId, Integer> demand = new TreeMap<>();
    queue.forEach((place, w) -> waiting.merge(place.rank(), 1, Integer::sum));
    queue.values().forEach(w -> demand.merge(w.request().account(), 1, Integer::sum));
    running.values().forEach(r -> demand.merge(r.account(), 1, Integer::sum));
    return new ShardSummary(shard, free, waiting, new TreeMap<>(), demand);
  }

  private static Decision refuse(SlotRequest request, RefusalReason reason) {
    return new Decision.Refusal(request.id(), reason, RETRY_AFTER_MILLIS);
  }

  private List<Decision> dispatch() {
    List<Decision> decisions = new ArrayList<>();
    while (granting && !queue.isEmpty()) {
      BackendServer server = freest();
      if (server == null) {
        break;
      }
      SlotRequest r = queue.pollFirstEntry().getValue().request();
      places.remove(r.id());
      long lease = ++leases;
      occupy(r.id(), new Running(server.id(), r.serviceClass(), r.account(), lease));
      decisions.add(new Decision.Grant(r.id(), lease, server.id(), LEASE_START_MILLIS));
    }
    return decisions;
  }

  private @Nullable BackendServer freest() {
    BackendServer best = null;
    int bestFree = 0;
    for (BackendServer s : servers.values()) {
      int free = s.leaving() ? 0 : s.slots() - used.getOrDefault(s.id(), 0);
      if (free > bestFree) {
        best = s;
        bestFree = free;
      }
    }
    return best;
  }

  /**
   * Returns how many requests wait.
   *
   * @return a count
   */
  public int waiting() {
    return queue.size();
  }

  /**
   * Returns how many leases are out.
   *
   * @return a count
   */
  public int leased() {
    return running.size();
  }

  /**
   * Returns the leases out on each backend server.
   *
   * @return a copy by server
   */
  public Map<ServerId, Integer> leasedByServer() {
    return new TreeMap<>(used);
  }
}
