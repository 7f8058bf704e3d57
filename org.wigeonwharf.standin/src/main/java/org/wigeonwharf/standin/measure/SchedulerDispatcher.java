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

/** A SchedulerDispatcher runs the real shard schedulers, with a delay on every message. */
final class SchedulerDispatcher implements Dispatcher {
  private static final long MESSAGE_NANOS = Clock.NANOS_PER_MILLI;
  private static final int PREFILL_TOKENS_WASTED_BY_RESUME = 1;

  private final VirtualTime time;
  private final Fleet fleet;
  private final ShardMap shards;
  private final Map<ShardId, ShardScheduler> schedulers = new TreeMap<>();
  private final Map<RequestId, Job> jobs = new HashMap<>();
  private final Map<RequestId, Granted> running = new HashMap<>();

  private record Granted(ShardId shard, Decision.Grant grant, long atNanos, int tokensBefore) {}

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
  public void arrive(Job job) {
    List<ShardId> local = shards.shardsOf(fleet.service(), fleet.domainOf(job.router));
    ask(job, local.get((int) (job.number % local.size())));
  }

  private void ask(Job job, ShardId shard) {
    RequestId id = idOf(job);
    jobs.put(id, job);
    long waited = (time.nanos() - job.arrivedNanos) / Clock.NANOS_PER_MILLI;
    SlotRequest r =
        new SlotRequest(
            id, shard, job.spec.id(), job.account, 0, 0, job.attempts > 0 ? 0 : waited, true, 1);
    time.after(MESSAGE_NANOS, () -> apply(shard, scheduler(shard).submit(r)));
  }

  private static RequestId idOf(Job job) {
    return new RequestId(new NodeId("vm" + job.router, 1), job.number);
  }

  private ShardScheduler scheduler(ShardId shard) {
    ShardScheduler s = schedulers.get(shard);
    if (s == null) {
      throw new IllegalArgumentException("no shard is named " + shard);
    }
    return s;
  }

  private void apply(ShardId shard, List<Decision> decisions) {
    for (Decision d : decisions) {
      time.after(MESSAGE_NANOS, () -> decided(shard, d));
    }
  }

  private void decided(ShardId shard, Decision decision) {
    Job job = jobs.get(decision.request());
    if (decision instanceof Decision.Grant g) {
      granted(shard, g, job);
    } else if (job == null) {
      return;
    } else if (decision instanceof Decision.Refusal) {
      jobs.remove(decision.request());
      job.refused = true;
    } else if (decision instanceof Decision.Preemption p) {
      preempted(p, job);
    }
  }

  private void granted(ShardId shard, Decision.Grant g, @Nullable Job job) {
    if (job == null) {
      end(new Outcome(g.request(), shard, g.lease(), g.server(), LeaseEnd.RETURNED, -1, 0, 0));
      return;
    }
    job.attempts++;
    Granted granted = new Granted(shard, g, time.nanos(), job.generated);
    running.put(g.request(), granted);
    fleet.server(g.server()).submit(job, j -> finished(granted, j));
  }

  private void finished(Granted granted, Job job) {
    running.remove(granted.grant().request());
    jobs.remove(granted.grant().request());
    end(outcome(granted, job, LeaseEnd.FINISHED));
  }

  private Outcome outcome(Granted granted, Job job, LeaseEnd end) {
    boolean fresh = granted.tokensBefore() == 0 && job.firstTokenNanos >= 0;
    return new Outcome(
        granted.grant().request(),
        granted.shard(),
        granted.grant().lease(),
        granted.grant().server(),
        end,
        fresh ? (job.firstTokenNanos - granted.atNanos()) / Clock.NANOS_PER_MILLI : -1,
        job.generated - granted.tokensBefore(),
        (time.nanos() - granted.atNanos()) / Clock.NANOS_PER_MILLI);
  }

  private void end(Outcome outcome) {
    time.after(
        MESSAGE_NANOS,
        () -> apply(outcome.shard(), scheduler(outcome.shard()).recordOutcome(outcome)));
  }

  private void preempted(Decision.Preemption p, Job job) {
    Granted granted = running.get(p.request());
    if (granted == null || granted.grant().lease() != p.lease()) {
      return;
    }
    running.remove(p.request());
    fleet.server(granted.grant().server()).cancel(job);
    job.wastedTokens += PREFILL_TOKENS_WASTED_BY_RESUME;
    end(outcome(granted, job, LeaseEnd.CANCELLED));
    ask(job, granted.shard());
  }

  @Override
  public void leave(Job job) {
    RequestId id = idOf(job);
    jobs.remove(id);
    Granted granted = running.remove(id);
    if (granted != null) {
      fleet.server(granted.grant().server()).cancel(job);
      end(outcome(granted, job, LeaseEnd.CANCELLED));
      return;
    }
    time.after(MESSAGE_NANOS, () -> schedulers.values().forEach(s -> s.cancel(id)));
  }

  @Override
  public void tick() {
    schedulers.forEach((shard, s) -> apply(shard, s.tick()));
  }
}
