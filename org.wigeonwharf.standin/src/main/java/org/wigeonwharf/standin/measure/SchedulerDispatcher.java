package org.wigeonwharf.standin.measure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.Decision;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.PolicyOptions;
import org.wigeonwharf.schedule.ShardMap;
import org.wigeonwharf.schedule.ShardScheduler;
import org.wigeonwharf.schedule.SlotRequest;

/** Dispatches through the production shard schedulers and delays every message to and from them. */
final class SchedulerDispatcher implements Dispatcher {
  private static final long MESSAGE_DELAY_NANOS = Clock.NANOS_PER_MILLI;
  private static final int PREFILL_TOKENS_WASTED_BY_RESUME = 1;

  private final VirtualTime time;
  private final Fleet fleet;
  private final ShardMap shards;
  private final Map<ShardId, ShardScheduler> schedulers = new TreeMap<>();
  private final Map<RequestId, Job> jobs = new HashMap<>();
  private final Map<RequestId, RunningGrant> runningGrants = new HashMap<>();

  private record RunningGrant(
      ShardId shard, Decision.Grant grant, long grantedNanos, int tokensBefore) {}

  SchedulerDispatcher(VirtualTime time, Fleet fleet, PolicyOptions options) {
    this.time = time;
    this.fleet = fleet;
    this.shards = ShardMap.of(fleet.config());
    shards
        .shards()
        .forEach(
            (id, servers) -> {
              ShardScheduler s = new ShardScheduler(id, time, options);
              s.configure(fleet.config(), servers);
              schedulers.put(id, s);
            });
  }

  @Override
  public void submit(Job job) {
    List<ShardId> local = shards.shardsOf(fleet.service(), fleet.domainOf(job.routerIndex));
    requestSlot(job, local.get((int) (job.number % local.size())));
  }

  private void requestSlot(Job job, ShardId shard) {
    RequestId id = requestId(job);
    jobs.put(id, job);
    long waitedMillis = (time.nanos() - job.arrivedNanos) / Clock.NANOS_PER_MILLI;
    SlotRequest r =
        new SlotRequest(
            id,
            shard,
            job.classSpec.id(),
            job.account,
            0,
            0,
            job.attempts > 0 ? 0 : waitedMillis,
            true,
            1);
    time.schedule(MESSAGE_DELAY_NANOS, () -> deliver(shard, scheduler(shard).submit(r)));
  }

  private static RequestId requestId(Job job) {
    return new RequestId(new NodeId("vm" + job.routerIndex, 1), job.number);
  }

  private ShardScheduler scheduler(ShardId shard) {
    ShardScheduler s = schedulers.get(shard);
    if (s == null) {
      throw new IllegalArgumentException("unknown shard " + shard);
    }
    return s;
  }

  private void deliver(ShardId shard, List<Decision> decisions) {
    for (Decision d : decisions) {
      time.schedule(MESSAGE_DELAY_NANOS, () -> handleDecision(shard, d));
    }
  }

  private void handleDecision(ShardId shard, Decision decision) {
    Job job = jobs.get(decision.request());
    if (decision instanceof Decision.Grant g) {
      handleGrant(shard, g, job);
    } else if (job == null) {
      return;
    } else if (decision instanceof Decision.Refusal) {
      jobs.remove(decision.request());
      job.refused = true;
    } else if (decision instanceof Decision.Preemption p) {
      handlePreemption(p, job);
    }
  }

  private void handleGrant(ShardId shard, Decision.Grant g, @Nullable Job job) {
    if (job == null) {
      reportOutcome(
          new Outcome(g.request(), shard, g.lease(), g.server(), LeaseEnd.RETURNED, -1, 0, 0));
      return;
    }
    job.attempts++;
    RunningGrant running = new RunningGrant(shard, g, time.nanos(), job.generatedTokens);
    runningGrants.put(g.request(), running);
    fleet.server(g.server()).submit(job, j -> handleFinish(running, j));
  }

  private void handleFinish(RunningGrant running, Job job) {
    runningGrants.remove(running.grant().request());
    jobs.remove(running.grant().request());
    reportOutcome(createOutcome(running, job, LeaseEnd.FINISHED));
  }

  private Outcome createOutcome(RunningGrant running, Job job, LeaseEnd end) {
    boolean includesFirstToken = running.tokensBefore() == 0 && job.firstTokenNanos >= 0;
    return new Outcome(
        running.grant().request(),
        running.shard(),
        running.grant().lease(),
        running.grant().server(),
        end,
        includesFirstToken
            ? (job.firstTokenNanos - running.grantedNanos()) / Clock.NANOS_PER_MILLI
            : -1,
        job.generatedTokens - running.tokensBefore(),
        (time.nanos() - running.grantedNanos()) / Clock.NANOS_PER_MILLI);
  }

  private void reportOutcome(Outcome outcome) {
    time.schedule(
        MESSAGE_DELAY_NANOS,
        () -> deliver(outcome.shard(), scheduler(outcome.shard()).recordOutcome(outcome)));
  }

  private void handlePreemption(Decision.Preemption p, Job job) {
    RunningGrant running = runningGrants.get(p.request());
    if (running == null || running.grant().lease() != p.lease()) {
      return;
    }
    runningGrants.remove(p.request());
    fleet.server(running.grant().server()).cancel(job);
    job.wastedTokens += PREFILL_TOKENS_WASTED_BY_RESUME;
    reportOutcome(createOutcome(running, job, LeaseEnd.CANCELLED));
    requestSlot(job, running.shard());
  }

  @Override
  public void cancel(Job job) {
    RequestId id = requestId(job);
    jobs.remove(id);
    RunningGrant running = runningGrants.remove(id);
    if (running != null) {
      fleet.server(running.grant().server()).cancel(job);
      reportOutcome(createOutcome(running, job, LeaseEnd.CANCELLED));
      return;
    }
    time.schedule(MESSAGE_DELAY_NANOS, () -> schedulers.values().forEach(s -> s.cancel(id)));
  }

  @Override
  public void tick() {
    schedulers.forEach((shard, s) -> deliver(shard, s.tick()));
  }
}
