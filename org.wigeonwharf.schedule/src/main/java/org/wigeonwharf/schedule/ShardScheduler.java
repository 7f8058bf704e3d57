package org.wigeonwharf.schedule;

import java.util.ArrayList;
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
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ShardId;

/**
 * Grants the slots of one shard's backend servers to waiting requests.
 *
 * <p>It is driven by events and an injected clock and owns no thread; every call returns the
 * decisions that result from it. Not thread-safe.
 */
public final class ShardScheduler {
  /** Time within which a granted request must start, in milliseconds; then the lease expires. */
  public static final long LEASE_START_TIMEOUT_MILLIS = 1_000;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final ShardId shard;
  private final Clock clock;
  private final PolicyOptions options;
  private final WaitQueue queue = new WaitQueue();
  private final RunningLeases running = new RunningLeases();
  private final AccountLimiter limiter = new AccountLimiter();
  private final AnswerEstimates estimates = new AnswerEstimates();
  private final ServerPool pool;
  private final LeaseObserver observer;
  private final AdmissionControl admission;
  private final GrantChooser chooser;
  private final Preemptor preemptor;
  private PublishedConfig config = PublishedConfig.EMPTY;
  private @Nullable ServiceSpec service;
  private long nextSequence;
  private long lastLease;
  private boolean granting = true;

  /**
   * Creates a scheduler without servers, with all parts of the policy on.
   *
   * @param shard the shard
   * @param clock monotonic time
   */
  public ShardScheduler(ShardId shard, Clock clock) {
    this(shard, clock, PolicyOptions.DEFAULT);
  }

  /**
   * Creates a scheduler without servers, with the given parts of the policy on.
   *
   * @param shard the shard
   * @param clock monotonic time
   * @param options which parts are on
   */
  public ShardScheduler(ShardId shard, Clock clock, PolicyOptions options) {
    this.shard = shard;
    this.clock = clock;
    this.options = options;
    this.pool = new ServerPool(options);
    this.observer = new LeaseObserver(pool, estimates);
    this.admission = new AdmissionControl(queue, running);
    this.chooser = new GrantChooser(options, queue, pool, limiter, estimates);
    this.preemptor = new Preemptor(queue, running, pool, limiter, estimates);
  }

  /**
   * Applies a new configuration, also to the waiting requests; those whose class it lacks are
   * refused.
   *
   * @param config the configuration
   * @param shardServers the shard's backend servers in it
   * @return the resulting decisions
   */
  public List<Decision> configure(PublishedConfig config, List<BackendServer> shardServers) {
    long now = clock.nanos();
    this.config = config;
    service = config.services().get(shard.service());
    pool.configure(shardServers, now);
    limiter.configure(config.accounts(), now);
    chooser.configure(config, service);
    List<Decision> decisions = requeue(now);
    decisions.addAll(dispatch());
    shedOverflow(decisions);
    return decisions;
  }

  private List<Decision> requeue(long now) {
    List<Decision> decisions = new ArrayList<>();
    for (WaitingRequest w : queue.all()) {
      queue.remove(w.request().id());
      ClassSpec spec = config.classes().get(w.request().serviceClass());
      if (spec == null) {
        limiter.release(w.request().account(), now);
        decisions.add(refuse(w.request(), RefusalReason.UNKNOWN));
      } else {
        queue.add(w.withClass(spec, estimates.slotMillis(spec)));
      }
    }
    return decisions;
  }

  /**
   * Pauses or resumes grants, for example while routers register with a new scheduler.
   *
   * @param granting false to pause
   * @return the resulting decisions
   */
  public List<Decision> setGranting(boolean granting) {
    this.granting = granting;
    return dispatch();
  }

  /**
   * Queues a slot request; a request that waits or runs already is ignored.
   *
   * @param request the request
   * @return the resulting decisions
   */
  public List<Decision> submit(SlotRequest request) {
    if (queue.contains(request.id()) || running.contains(request.id())) {
      return List.of();
    }
    ClassSpec spec = config.classes().get(request.serviceClass());
    if (spec == null || !config.accounts().containsKey(request.account())) {
      return List.of(refuse(request, RefusalReason.UNKNOWN));
    }
    long now = clock.nanos();
    WaitingRequest w = toWaitingRequest(request, spec, now);
    RefusalReason reason = refusalReason(w, now);
    if (reason != null) {
      return List.of(refuse(request, reason));
    }
    queue.add(w);
    limiter.admit(request.account(), now);
    chooser.recordArrival(w);
    List<Decision> decisions = dispatch();
    shedOverflow(decisions);
    return decisions;
  }

  private WaitingRequest toWaitingRequest(SlotRequest request, ClassSpec spec, long now) {
    Preemptor.PreemptionRecord preempted = preemptor.recordOf(request.id());
    long sequence = preempted == null ? nextSequence++ : preempted.sequence();
    // The target and deadline of a preempted stream's remainder count from its return to the queue.
    long sinceNanos =
        preempted == null ? now - request.waitedMillis() * Clock.NANOS_PER_MILLI : now;
    return new WaitingRequest(
        request, spec, sequence, sinceNanos, estimates.slotMillis(spec), preempted != null);
  }

  private @Nullable RefusalReason refusalReason(WaitingRequest w, long now) {
    AccountId account = w.request().account();
    if (w.resumed()) {
      return null;
    }
    if (!limiter.canAdmit(account, now)
        || !limiter.canStartWithin(
            account, queue.sizeOf(account), w.spec().firstTokenTarget(), now)) {
      return RefusalReason.ACCOUNT_LIMIT;
    }
    boolean wouldMissDeadline =
        options.earlyRefusal()
            && admission.wouldMissDeadline(w, pool.totalSlots(), config.classes().values(), now);
    return wouldMissDeadline ? RefusalReason.DEADLINE : null;
  }

  private void shedOverflow(List<Decision> decisions) {
    int places = service == null ? 0 : service.waitingPlaces();
    WaitingRequest w = admission.nextToShed(config.classes().values(), places);
    while (w != null) {
      dequeue(w.request().id());
      decisions.add(refuse(w.request(), RefusalReason.CAPACITY));
      w = admission.nextToShed(config.classes().values(), places);
    }
  }

  private void dequeue(RequestId id) {
    WaitingRequest w = queue.remove(id);
    if (w != null) {
      limiter.release(w.request().account(), clock.nanos());
      chooser.recordDeparture(w);
    }
  }

  /**
   * Withdraws a waiting request.
   *
   * @param id the request
   */
  public void cancel(RequestId id) {
    dequeue(id);
  }

  /**
   * Records the end of a lease. An outcome is ignored if the lease is no longer running or the
   * request has been granted a new one.
   *
   * @param outcome the outcome of the lease
   * @return the resulting decisions
   */
  public List<Decision> recordOutcome(Outcome outcome) {
    RunningLease r = running.get(outcome.request());
    if (r != null && (r.lease == 0 || r.lease == outcome.lease())) {
      observer.recordEnd(r, outcome, clock.nanos());
      release(r, outcome.tokens(), wasStarted(outcome.end()));
      preemptor.recordEnd(r.request, outcome.end() == LeaseEnd.FINISHED);
    }
    return dispatch();
  }

  private static boolean wasStarted(LeaseEnd end) {
    return end != LeaseEnd.NOT_STARTED && end != LeaseEnd.RETURNED;
  }

  private void release(RunningLease r, long tokens, boolean started) {
    long now = clock.nanos();
    running.remove(r.request);
    limiter.release(r.account, now);
    limiter.settleCharge(r.account, r.chargedTokens, tokens, started, now);
  }

  /**
   * Adopts a running lease that a previous scheduler granted; its request no longer waits.
   *
   * @param held the lease
   */
  public void adoptLease(HeldLease held) {
    cancel(held.request());
    if (running.contains(held.request())) {
      return;
    }
    long now = clock.nanos();
    ServerState server = pool.getOrAddUnpublished(held.server(), shard, now);
    ClassSpec spec = config.classes().get(held.serviceClass());
    boolean background = spec == null || !chooser.isForeground(spec, held.account());
    limiter.admit(held.account(), now);
    running.add(
        new RunningLease(
            held.request(), server, spec, held.account(), 0, now, 0, nextSequence++, background),
        false);
  }

  /**
   * Drops the waiting requests of an absent router. Its leases keep their slots until {@link
   * #expireLeases}.
   *
   * @param node the router
   */
  public void dropWaiting(NodeId node) {
    for (WaitingRequest w : queue.all()) {
      if (w.request().id().origin().equals(node)) {
        dequeue(w.request().id());
      }
    }
  }

  /**
   * Ends the leases of a router that has been absent for too long and frees their slots.
   *
   * @param node the router
   * @return the resulting decisions
   */
  public List<Decision> expireLeases(NodeId node) {
    for (RunningLease r : running.requestedBy(node)) {
      release(r, r.chargedTokens, true);
      preemptor.recordEnd(r.request, true);
    }
    return dispatch();
  }

  /**
   * Refuses waiting requests past their deadline, counts foreground leases that have run long as
   * background, removes expired preemption records and grants free slots.
   *
   * @return the resulting decisions
   */
  public List<Decision> tick() {
    long now = clock.nanos();
    List<Decision> decisions = new ArrayList<>();
    for (WaitingRequest w : queue.pastDeadline(now)) {
      boolean isRateLimited = !limiter.canStart(w.request().account(), now);
      dequeue(w.request().id());
      RefusalReason reason = isRateLimited ? RefusalReason.ACCOUNT_LIMIT : RefusalReason.DEADLINE;
      decisions.add(refuse(w.request(), reason));
    }
    preemptor.removeExpiredRecords(now);
    running.moveLongToBackground(now);
    decisions.addAll(dispatch());
    return decisions;
  }

  /**
   * Applies a load report of a backend server.
   *
   * @param server the server
   * @param report its report
   * @return the resulting decisions
   */
  public List<Decision> recordLoad(ServerId server, LoadReport report) {
    ServerState s = pool.get(server);
    if (s != null) {
      s.applyReport(report, clock.nanos());
    }
    return dispatch();
  }

  /**
   * Sets the part of each client account's limits that this shard may use.
   *
   * @param limits allocated limits by account; an account not in the map has its published limits
   * @return the resulting decisions
   */
  public List<Decision> setLimits(Map<AccountId, AccountLimits> limits) {
    limiter.setAllocations(limits, clock.nanos());
    return dispatch();
  }

  /**
   * Records that the answer to a running request has begun.
   *
   * @param id the request
   * @param millis time from the write of the request to the first byte of the answer, in
   *     milliseconds
   * @return the resulting decisions
   */
  public List<Decision> recordFirstToken(RequestId id, long millis) {
    RunningLease r = running.get(id);
    if (r != null) {
      observer.recordFirstToken(r, millis, clock.nanos());
    }
    return dispatch();
  }

  private static Decision refuse(SlotRequest request, RefusalReason reason) {
    return new Decision.Refusal(request.id(), reason, RETRY_AFTER_MILLIS);
  }

  private List<Decision> dispatch() {
    List<Decision> decisions = new ArrayList<>();
    if (!granting) {
      return decisions;
    }
    long now = clock.nanos();
    GrantChooser.Choice c = chooser.next(now);
    while (c != null) {
      decisions.add(grant(c, now));
      c = chooser.next(now);
    }
    if (options.preemption() && service != null && service.resumable()) {
      preemptor
          .preemptForWaiting(now)
          .forEach(r -> decisions.add(new Decision.Preemption(r.request, r.lease)));
    }
    return decisions;
  }

  private Decision grant(GrantChooser.Choice c, long now) {
    WaitingRequest w = c.request();
    SlotRequest r = w.request();
    chooser.chargeGrant(c, now);
    queue.remove(r.id());
    chooser.recordDeparture(w);
    c.server().recordGrant(now);
    long tokens = estimatedTokens(w);
    limiter.chargeStart(r.account(), tokens, now);
    long lease = ++lastLease;
    boolean isPreemptible = c.background() && !c.reserved();
    running.add(
        new RunningLease(
            r.id(),
            c.server(),
            w.spec(),
            r.account(),
            lease,
            now,
            tokens,
            w.sequence(),
            c.background()),
        isPreemptible);
    return new Decision.Grant(r.id(), lease, c.server().server().id(), LEASE_START_TIMEOUT_MILLIS);
  }

  private long estimatedTokens(WaitingRequest w) {
    SlotRequest r = w.request();
    return r.estimatedTokens() > 0
        ? r.estimatedTokens()
        : estimates.outputTokens(w.spec(), r.account());
  }

  /**
   * Returns the load of this shard for the schedulers of other shards.
   *
   * @return the current load
   */
  public ShardSummary summary() {
    long now = clock.nanos();
    int free = pool.freeSlots(now);
    TreeMap<Integer, Long> wait = new TreeMap<>();
    for (ClassSpec c : config.classes().values()) {
      int rank = c.tier().rank();
      wait.put(rank, free > 0 ? 0 : (long) admission.predictedWaitMillis(rank, pool.totalSlots()));
    }
    return new ShardSummary(shard, free, queue.sizeByRank(), wait, limiter.demand());
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int waiting() {
    return queue.size();
  }

  /**
   * Returns the number of running leases.
   *
   * @return the number
   */
  public int leased() {
    return running.size();
  }

  /**
   * Returns the number of running leases of each backend server.
   *
   * @return a copy by server
   */
  public Map<ServerId, Integer> leasedByServer() {
    return pool.usedSlotsByServer();
  }
}
