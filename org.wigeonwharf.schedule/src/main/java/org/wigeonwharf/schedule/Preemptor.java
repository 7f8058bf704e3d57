package org.wigeonwharf.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.RequestId;

/**
 * Preempts long streams of lower tiers for waiting requests that are about to miss their target.
 *
 * <p>A stream is preempted at most {@link #MAX_PREEMPTIONS} times and its remainder keeps the
 * stream's place in the order of arrival. Not thread-safe.
 */
final class Preemptor {
  /** Maximum number of times that one request may be preempted. */
  static final int MAX_PREEMPTIONS = 3;

  /** Minimum ratio of a victim's expected slot time to that of the waiting request. */
  static final double MIN_LENGTH_RATIO = 2;

  /** Time after which an unanswered preemption no longer counts as pending, in milliseconds. */
  static final long PENDING_TIMEOUT_MILLIS = 500;

  /**
   * Time since its last preemption after which the record of a request that neither waits nor runs
   * is removed, in milliseconds.
   */
  static final long RECORD_RETENTION_MILLIS = 60_000;

  private final WaitQueue queue;
  private final RunningLeases running;
  private final ServerPool pool;
  private final AccountLimiter limiter;
  private final AnswerEstimates estimates;
  private final Map<RequestId, PreemptionRecord> records = new HashMap<>();
  private final Map<RequestId, Long> pending = new HashMap<>();

  /**
   * The preemption history of a request.
   *
   * @param sequence its arrival sequence
   * @param count how often it was preempted
   * @param atNanos monotonic time of its last preemption in nanoseconds
   */
  record PreemptionRecord(long sequence, int count, long atNanos) {}

  Preemptor(
      WaitQueue queue,
      RunningLeases running,
      ServerPool pool,
      AccountLimiter limiter,
      AnswerEstimates estimates) {
    this.queue = queue;
    this.running = running;
    this.pool = pool;
    this.limiter = limiter;
    this.estimates = estimates;
  }

  /**
   * Chooses streams to preempt and marks each as preempted.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return the leases of the streams
   */
  List<RunningLease> preemptForWaiting(long nowNanos) {
    pending
        .values()
        .removeIf(at -> nowNanos - at >= PENDING_TIMEOUT_MILLIS * Clock.NANOS_PER_MILLI);
    List<RunningLease> result = new ArrayList<>();
    if (queue.isEmpty() || running.preemptible().isEmpty()) {
      return result;
    }
    // Each pending preemption will free a slot, so it covers one flow that is at risk.
    int covered = pending.size();
    for (Collection<FlowQueue> flows : queue.flowsByTier()) {
      for (FlowQueue flow : flows) {
        if (!isAtRisk(flow, covered, nowNanos) || covered-- > 0) {
          continue;
        }
        RunningLease victim = chooseVictim(flow.spec(), nowNanos);
        if (victim != null) {
          preempt(victim, nowNanos);
          result.add(victim);
        }
      }
    }
    return result;
  }

  private boolean isAtRisk(FlowQueue flow, int covered, long nowNanos) {
    long firstTokenNanos = (long) (estimates.firstTokenMillis(flow.spec()) * Clock.NANOS_PER_MILLI);
    WaitingRequest w = flow.firstOnTime(nowNanos + firstTokenNanos);
    if (w == null || w.resumed() || !limiter.canStart(flow.account(), nowNanos)) {
      return false;
    }
    double slackMillis =
        (w.targetNanos() - nowNanos - firstTokenNanos) / (double) Clock.NANOS_PER_MILLI;
    return slackMillis < running.expectedMillisToNextEnd(estimates) * (covered + 1);
  }

  private @Nullable RunningLease chooseVictim(ClassSpec waiting, long nowNanos) {
    double minSlotMillis = MIN_LENGTH_RATIO * estimates.slotMillis(waiting);
    for (RunningLease r : running.preemptible()) {
      if (r.rank() <= waiting.tier().rank()) {
        return null;
      }
      boolean isLong = r.spec != null && estimates.slotMillis(r.spec) >= minSlotMillis;
      boolean usable = !r.server.server().leaving() && !pool.isOnProbation(r.server, nowNanos);
      if (isLong && usable && timesPreempted(r.request) < MAX_PREEMPTIONS) {
        return r;
      }
    }
    return null;
  }

  private int timesPreempted(RequestId id) {
    PreemptionRecord r = records.get(id);
    return r == null ? 0 : r.count();
  }

  private void preempt(RunningLease r, long nowNanos) {
    records.put(
        r.request, new PreemptionRecord(r.sequence, timesPreempted(r.request) + 1, nowNanos));
    pending.put(r.request, nowNanos);
    running.markPreempted(r);
  }

  /**
   * Returns the preemption history of a request.
   *
   * @param id the request
   * @return the record, or null if none is kept
   */
  @Nullable PreemptionRecord recordOf(RequestId id) {
    return records.get(id);
  }

  /**
   * Records that a lease ended.
   *
   * @param id its request
   * @param finished true to drop the preemption record of the request, as no remainder will follow
   */
  void recordEnd(RequestId id, boolean finished) {
    pending.remove(id);
    if (finished) {
      records.remove(id);
    }
  }

  /**
   * Removes old records of requests that neither wait nor run.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void removeExpiredRecords(long nowNanos) {
    records
        .entrySet()
        .removeIf(
            e ->
                nowNanos - e.getValue().atNanos() >= RECORD_RETENTION_MILLIS * Clock.NANOS_PER_MILLI
                    && !queue.contains(e.getKey())
                    && !running.contains(e.getKey()));
  }
}
