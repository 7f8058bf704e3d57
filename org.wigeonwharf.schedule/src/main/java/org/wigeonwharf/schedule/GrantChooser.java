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
 * A GrantChooser decides which waiter gets which server next.
 *
 * <p>A class that is owed its share goes first; then the highest tier. Within a tier, who can still
 * meet its target goes before who can't, then the account with the least weighted use, then the
 * least slack. Not thread-safe.
 */
final class GrantChooser {
  /** Longest output that counts as short, in tokens. */
  static final long SHORT_TOKENS = 500;

  private final PolicyOptions options;
  private final WaitQueue queue;
  private final ServerPool pool;
  private final AccountLimiter limiter;
  private final LengthEstimates lengths;
  private final GrantReserve reserve = new GrantReserve();
  private final Map<Integer, VirtualTimes> virtualTimes = new HashMap<>();
  private PublishedConfig config = PublishedConfig.EMPTY;
  private boolean keepsHeadroom;
  private int topRank;

  /**
   * A Choice is a waiter and the server it gets.
   *
   * @param waiter the waiter
   * @param server the server
   * @param background true if it counts as long work
   * @param owed true if its class used its share
   */
  record Choice(Waiter waiter, ServerState server, boolean background, boolean owed) {}

  private record Candidate(Lane lane, Waiter waiter, boolean late, double use) {
    static final Comparator<Candidate> ORDER =
        Comparator.comparing(Candidate::late)
            .thenComparingDouble(Candidate::use)
            .thenComparingLong((Candidate c) -> c.waiter.targetNanos())
            .thenComparingLong((Candidate c) -> c.waiter.sequence());
  }

  GrantChooser(
      PolicyOptions options,
      WaitQueue queue,
      ServerPool pool,
      AccountLimiter limiter,
      LengthEstimates lengths) {
    this.options = options;
    this.queue = queue;
    this.pool = pool;
    this.limiter = limiter;
    this.lengths = lengths;
  }

  /**
   * Takes a configuration.
   *
   * @param next the configuration
   * @param service the shard's service in it, or null
   */
  void configure(PublishedConfig next, @Nullable ServiceSpec service) {
    config = next;
    keepsHeadroom = service != null && service.kind() == ServiceKind.MODEL && !service.resumable();
    topRank = next.classes().values().stream().mapToInt(c -> c.tier().rank()).min().orElse(0);
  }

  /**
   * Tells whether a class's work is short and urgent, and may use the headroom.
   *
   * @param spec the class
   * @param account the client account
   * @return false for work of lower tiers and for long work
   */
  boolean isUrgent(ClassSpec spec, AccountId account) {
    return spec.tier().rank() == topRank && lengths.tokens(spec, account) <= SHORT_TOKENS;
  }

  /**
   * Notes that a request began to wait.
   *
   * @param w the waiter
   */
  void arrived(Waiter w) {
    times(w.rank()).activated(w.request().account());
  }

  private VirtualTimes times(int rank) {
    return virtualTimes.computeIfAbsent(rank, r -> new VirtualTimes());
  }

  /**
   * Chooses the next grant.
   *
   * @param nowNanos the time
   * @return the choice, or null if no waiter fits a free slot
   */
  @Nullable Choice next(long nowNanos) {
    if (queue.isEmpty() || pool.free(nowNanos) == 0) {
      return null;
    }
    Choice owed = options.reserve() ? nextOwed(nowNanos) : null;
    if (owed != null) {
      return owed;
    }
    for (Collection<Lane> lanes : queue.lanesByTier()) {
      Choice c = best(lanes, false, nowNanos);
      if (c != null) {
        return c;
      }
    }
    return null;
  }

  private @Nullable Choice nextOwed(long nowNanos) {
    List<ClassId> owed = new ArrayList<>();
    for (ClassId c : queue.classes()) {
      Waiter first = queue.oldestOf(c);
      if (first != null && reserve.creditMillis(c) >= first.costMillis()) {
        owed.add(c);
      }
    }
    owed.sort(
        Comparator.comparingDouble((ClassId c) -> -reserve.creditMillis(c))
            .thenComparing(Comparator.naturalOrder()));
    for (ClassId c : owed) {
      Choice choice = best(lanesOf(c), true, nowNanos);
      if (choice != null) {
        return choice;
      }
    }
    return null;
  }

  private List<Lane> lanesOf(ClassId serviceClass) {
    List<Lane> result = new ArrayList<>();
    for (Collection<Lane> lanes : queue.lanesByTier()) {
      for (Lane lane : lanes) {
        if (lane.spec().id().equals(serviceClass)) {
          result.add(lane);
        }
      }
    }
    return result;
  }

  private @Nullable Choice best(Collection<Lane> lanes, boolean owed, long nowNanos) {
    List<Candidate> candidates = new ArrayList<>(lanes.size());
    for (Lane lane : lanes) {
      if (limiter.mayStart(lane.account(), nowNanos)) {
        candidates.add(candidate(lane, nowNanos));
      }
    }
    candidates.sort(Candidate.ORDER);
    for (Candidate c : candidates) {
      boolean background = !isUrgent(c.lane().spec(), c.lane().account());
      ServerState s = pool.choose(need(c, background, nowNanos), nowNanos);
      if (s != null) {
        return new Choice(c.waiter(), s, background, owed);
      }
    }
    return null;
  }

  private Candidate candidate(Lane lane, long nowNanos) {
    double use = options.fairAccounts() ? times(lane.rank()).of(lane.account()) : 0;
    Waiter onTime = options.lateLast() ? lane.firstOnTime(onTimeNanos(lane, nowNanos)) : null;
    return onTime != null
        ? new Candidate(lane, onTime, false, use)
        : new Candidate(lane, Objects.requireNonNull(lane.first()), options.lateLast(), use);
  }

  private long onTimeNanos(Lane lane, long nowNanos) {
    return nowNanos + (long) (lengths.firstTokenMillis(lane.spec()) * Clock.NANOS_PER_MILLI);
  }

  private ServerPool.Need need(Candidate c, boolean background, long nowNanos) {
    Waiter w = c.waiter();
    boolean hurried = !c.late() && !w.resumed();
    long left = hurried ? (w.targetNanos() - nowNanos) / Clock.NANOS_PER_MILLI : -1;
    double usual = lengths.firstTokenMillis(w.spec());
    return new ServerPool.Need(background, keepsHeadroom, left, usual, w.request().affinity());
  }

  /**
   * Charges a grant to its account and class; the waiter must still be queued.
   *
   * @param c the grant
   * @param nowNanos the time
   */
  void granted(Choice c, long nowNanos) {
    Waiter w = c.waiter();
    AccountId account = w.request().account();
    var spec = config.accounts().get(account);
    times(w.rank()).charge(account, w.costMillis(), spec == null ? 1 : spec.weight());
    reserve.granted(w.spec().id(), w.costMillis(), startable(nowNanos));
  }

  private Collection<ClassSpec> startable(long nowNanos) {
    Map<ClassId, ClassSpec> result = new HashMap<>();
    for (Collection<Lane> lanes : queue.lanesByTier()) {
      for (Lane lane : lanes) {
        if (limiter.mayStart(lane.account(), nowNanos)) {
          result.put(lane.spec().id(), lane.spec());
        }
      }
    }
    return result.values();
  }

  /**
   * Notes that a waiter has left the queue.
   *
   * @param w the waiter
   */
  void left(Waiter w) {
    if (queue.sizeOf(w.spec().id()) == 0) {
      reserve.emptied(w.spec().id());
    }
  }
}
