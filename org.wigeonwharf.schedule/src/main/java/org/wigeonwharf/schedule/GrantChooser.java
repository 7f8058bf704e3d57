package org.wigeonwharf.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.ServiceKind;
import org.wigeonwharf.config.ServiceSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;

/**
 * Chooses the waiting request to grant next and the backend server for it.
 *
 * <p>A class that is behind its share goes first, then the highest tier. Within a tier, requests
 * that can still meet their first-token target go before those that can't, then the account with
 * the least weighted use, then the request with the least slack. Not thread-safe.
 */
final class GrantChooser {
  /** Longest expected output that counts as short work, in tokens. */
  static final long MAX_SHORT_TOKENS = 500;

  private final PolicyOptions options;
  private final WaitQueue queue;
  private final ServerPool pool;
  private final AccountLimiter limiter;
  private final AnswerEstimates estimates;
  private final ClassCredits credits = new ClassCredits();
  private final Map<Integer, VirtualTimes> virtualTimes = new HashMap<>();
  private PublishedConfig config = PublishedConfig.EMPTY;
  private boolean reservesHeadroom;
  private int topRank;

  /**
   * A waiting request and the server chosen for it.
   *
   * @param request the request
   * @param server the server
   * @param background true if the request must leave the headroom free
   * @param reserved true if the request goes ahead of its tier because its class is behind its
   *     share
   */
  record Choice(WaitingRequest request, ServerState server, boolean background, boolean reserved) {}

  private record Candidate(FlowQueue flow, WaitingRequest request, boolean late, double usage) {
    static final Comparator<Candidate> ORDER =
        Comparator.comparing(Candidate::late)
            .thenComparingDouble(Candidate::usage)
            .thenComparingLong((Candidate c) -> c.request.targetNanos())
            .thenComparingLong((Candidate c) -> c.request.sequence());
  }

  GrantChooser(
      PolicyOptions options,
      WaitQueue queue,
      ServerPool pool,
      AccountLimiter limiter,
      AnswerEstimates estimates) {
    this.options = options;
    this.queue = queue;
    this.pool = pool;
    this.limiter = limiter;
    this.estimates = estimates;
  }

  /**
   * Applies a configuration.
   *
   * @param next the configuration
   * @param service the shard's service in it, or null
   */
  void configure(PublishedConfig next, @Nullable ServiceSpec service) {
    config = next;
    reservesHeadroom =
        service != null && service.kind() == ServiceKind.MODEL && !service.resumable();
    topRank = next.classes().values().stream().mapToInt(c -> c.tier().rank()).min().orElse(0);
  }

  /**
   * Returns whether requests of a class and account are foreground work, which may use the
   * headroom.
   *
   * @param spec the class
   * @param account the client account
   * @return true for short work of the highest tier
   */
  boolean isForeground(ClassSpec spec, AccountId account) {
    return spec.tier().rank() == topRank
        && estimates.outputTokens(spec, account) <= MAX_SHORT_TOKENS;
  }

  /**
   * Records that a request began to wait.
   *
   * @param w the request
   */
  void recordArrival(WaitingRequest w) {
    virtualTimesOf(w.rank()).activate(w.request().account());
  }

  private VirtualTimes virtualTimesOf(int rank) {
    return virtualTimes.computeIfAbsent(rank, r -> new VirtualTimes());
  }

  /**
   * Chooses the next grant.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return the choice, or null if no waiting request can take a free slot
   */
  @Nullable Choice next(long nowNanos) {
    if (queue.isEmpty() || pool.freeSlots(nowNanos) == 0) {
      return null;
    }
    Choice reserved = options.reserve() ? nextReserved(nowNanos) : null;
    if (reserved != null) {
      return reserved;
    }
    for (Collection<FlowQueue> flows : queue.flowsByTier()) {
      Choice c = best(flows, false, nowNanos);
      if (c != null) {
        return c;
      }
    }
    return null;
  }

  private @Nullable Choice nextReserved(long nowNanos) {
    List<ClassId> reserved = new ArrayList<>();
    for (ClassId c : queue.classes()) {
      WaitingRequest oldest = queue.oldestOf(c);
      if (oldest != null && credits.creditMillis(c) >= oldest.costMillis()) {
        reserved.add(c);
      }
    }
    reserved.sort(
        Comparator.comparingDouble((ClassId c) -> -credits.creditMillis(c))
            .thenComparing(Comparator.naturalOrder()));
    for (ClassId c : reserved) {
      Choice choice = best(flowsOf(c), true, nowNanos);
      if (choice != null) {
        return choice;
      }
    }
    return null;
  }

  private List<FlowQueue> flowsOf(ClassId serviceClass) {
    List<FlowQueue> result = new ArrayList<>();
    for (Collection<FlowQueue> flows : queue.flowsByTier()) {
      for (FlowQueue flow : flows) {
        if (flow.spec().id().equals(serviceClass)) {
          result.add(flow);
        }
      }
    }
    return result;
  }

  private @Nullable Choice best(Collection<FlowQueue> flows, boolean reserved, long nowNanos) {
    List<Candidate> candidates = new ArrayList<>(flows.size());
    for (FlowQueue flow : flows) {
      if (limiter.canStart(flow.account(), nowNanos)) {
        candidates.add(candidate(flow, nowNanos));
      }
    }
    candidates.sort(Candidate.ORDER);
    for (Candidate c : candidates) {
      boolean background = !isForeground(c.flow().spec(), c.flow().account());
      ServerState s = pool.choose(criteria(c, background, nowNanos), nowNanos);
      if (s != null) {
        return new Choice(c.request(), s, background, reserved);
      }
    }
    return null;
  }

  private Candidate candidate(FlowQueue flow, long nowNanos) {
    double usage = options.fairAccounts() ? virtualTimesOf(flow.rank()).timeOf(flow.account()) : 0;
    WaitingRequest onTime =
        options.lateLast() ? flow.firstOnTime(earliestFirstTokenNanos(flow, nowNanos)) : null;
    return onTime != null
        ? new Candidate(flow, onTime, false, usage)
        : new Candidate(flow, Objects.requireNonNull(flow.first()), options.lateLast(), usage);
  }

  private long earliestFirstTokenNanos(FlowQueue flow, long nowNanos) {
    return nowNanos + (long) (estimates.firstTokenMillis(flow.spec()) * Clock.NANOS_PER_MILLI);
  }

  private ServerPool.Criteria criteria(Candidate c, boolean background, long nowNanos) {
    WaitingRequest w = c.request();
    boolean hasTarget = !c.late() && !w.resumed();
    long budgetMillis = hasTarget ? (w.targetNanos() - nowNanos) / Clock.NANOS_PER_MILLI : -1;
    double meanMillis = estimates.firstTokenMillis(w.spec());
    return new ServerPool.Criteria(
        background, reservesHeadroom, budgetMillis, meanMillis, w.request().affinity());
  }

  /**
   * Charges a grant to its account and class; the request must still be queued.
   *
   * @param c the grant
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void chargeGrant(Choice c, long nowNanos) {
    WaitingRequest w = c.request();
    AccountId account = w.request().account();
    var spec = config.accounts().get(account);
    virtualTimesOf(w.rank()).charge(account, w.costMillis(), spec == null ? 1 : spec.weight());
    credits.recordGrant(w.spec().id(), w.costMillis(), startableClasses(nowNanos));
  }

  private Collection<ClassSpec> startableClasses(long nowNanos) {
    Map<ClassId, ClassSpec> result = new HashMap<>();
    for (Collection<FlowQueue> flows : queue.flowsByTier()) {
      for (FlowQueue flow : flows) {
        if (limiter.canStart(flow.account(), nowNanos)) {
          result.put(flow.spec().id(), flow.spec());
        }
      }
    }
    return result.values();
  }

  /**
   * Records that a request has left the queue.
   *
   * @param w the request
   */
  void recordDeparture(WaitingRequest w) {
    if (queue.sizeOf(w.spec().id()) == 0) {
      credits.dropCredit(w.spec().id());
    }
  }
}
