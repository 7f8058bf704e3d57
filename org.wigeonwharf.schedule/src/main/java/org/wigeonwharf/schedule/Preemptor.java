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
 * A Preemptor picks long streams of lower tiers that give way to waiters about to miss their
 * target.
 *
 * <p>A stream gives way at most a few times, and keeps its place among the arrivals. Not
 * thread-safe.
 */
final class Preemptor {
  /** How often one request may be preempted. */
  static final int MAX_PREEMPTIONS = 3;

  /** How much longer than the waiter's a stream's slot time must be. */
  static final double MIN_LENGTH_RATIO = 2;

  /** Time after which an unanswered preemption is no longer waited for, in milliseconds. */
  static final long PENDING_MILLIS = 500;

  /** How long a preempted request is remembered, in milliseconds. */
  static final long REMEMBERED_MILLIS = 60_000;

  private final WaitQueue queue;
  private final RunningLeases running;
  private final ServerPool pool;
  private final AccountLimiter limiter;
  private final LengthEstimates lengths;
  private final Map<RequestId, Record> records = new HashMap<>();
  private final Map<RequestId, Long> pending = new HashMap<>();

  /**
   * A Record is what is kept of a preempted request.
   *
   * @param sequence its place among the arrivals
   * @param times how often it was preempted
   * @param atNanos when it was last preempted
   */
  record Record(long sequence, int times, long atNanos) {}

  Preemptor(
      WaitQueue queue,
      RunningLeases running,
      ServerPool pool,
      AccountLimiter limiter,
      LengthEstimates lengths) {
    this.queue = queue;
    this.running = running;
    this.pool = pool;
    this.limiter = limiter;
    this.lengths = lengths;
  }

  /**
   * Picks streams to preempt; each is preempted from then on.
   *
   * @param nowNanos the time
   * @return the streams
   */
  List<RunningLease> pick(long nowNanos) {
    pending.values().removeIf(at -> nowNanos - at >= PENDING_MILLIS * Clock.NANOS_PER_MILLI);
    List<RunningLease> result = new ArrayList<>();
    if (queue.isEmpty() || running.preemptible().isEmpty()) {
      return result;
    }
    int covered = pending.size();
    for (Collection<Lane> lanes : queue.lanesByTier()) {
      for (Lane lane : lanes) {
        if (!isAtRisk(lane, covered, nowNanos) || covered-- > 0) {
          continue;
        }
        RunningLease victim = victim(lane.spec(), nowNanos);
        if (victim != null) {
          preempt(victim, nowNanos);
          result.add(victim);
        }
      }
    }
    return result;
  }

  private boolean isAtRisk(Lane lane, int covered, long nowNanos) {
    long firstToken = (long) (lengths.firstTokenMillis(lane.spec()) * Clock.NANOS_PER_MILLI);
    Waiter w = lane.firstOnTime(nowNanos + firstToken);
    if (w == null || w.resumed() || !limiter.mayStart(lane.account(), nowNanos)) {
      return false;
    }
    double slackMillis = (w.targetNanos() - nowNanos - firstToken) / (double) Clock.NANOS_PER_MILLI;
    return slackMillis < running.millisToNextEnd(lengths) * (covered + 1);
  }

  private @Nullable RunningLease victim(ClassSpec waiting, long nowNanos) {
    double least = MIN_LENGTH_RATIO * lengths.slotMillis(waiting);
    for (RunningLease r : running.preemptible()) {
      if (r.rank() <= waiting.tier().rank()) {
        return null;
      }
      boolean isLong = r.spec != null && lengths.slotMillis(r.spec) >= least;
      boolean free = !r.server.server().leaving() && !pool.isOnProbation(r.server, nowNanos);
      if (isLong && free && timesPreempted(r.request) < MAX_PREEMPTIONS) {
        return r;
      }
    }
    return null;
  }

  private int timesPreempted(RequestId id) {
    Record r = records.get(id);
    return r == null ? 0 : r.times();
  }

  private void preempt(RunningLease r, long nowNanos) {
    records.put(r.request, new Record(r.sequence, timesPreempted(r.request) + 1, nowNanos));
    pending.put(r.request, nowNanos);
    running.preempted(r);
  }

  /**
   * Returns what is kept of a request that was preempted.
   *
   * @param id the request
   * @return the record, or null if it was not preempted
   */
  @Nullable Record recordOf(RequestId id) {
    return records.get(id);
  }

  /**
   * Notes that a lease ended.
   *
   * @param id its request
   * @param finished true if the whole answer came
   */
  void ended(RequestId id, boolean finished) {
    pending.remove(id);
    if (finished) {
      records.remove(id);
    }
  }

  /**
   * Forgets old requests that neither wait nor run.
   *
   * @param nowNanos the time
   */
  void forget(long nowNanos) {
    records
        .entrySet()
        .removeIf(
            e ->
                nowNanos - e.getValue().atNanos() >= REMEMBERED_MILLIS * Clock.NANOS_PER_MILLI
                    && !queue.contains(e.getKey())
                    && !running.contains(e.getKey()));
  }
}
