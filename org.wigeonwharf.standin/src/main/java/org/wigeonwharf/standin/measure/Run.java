package org.wigeonwharf.standin.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiFunction;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.ServiceId;

/** A Run drives one dispatcher through one scenario with one seed. */
final class Run {
  private static final int LARGE_ACCOUNTS = 3;
  private static final double LARGE_ACCOUNTS_SHARE = 0.7;
  private static final int MAX_TOKENS = 8_000;

  private final VirtualTime time = new VirtualTime();
  private final Workload workload;
  private final Scenario scenario;
  private final PublishedConfig config;
  private final Random random;
  private final Fleet fleet;
  private final Dispatcher dispatcher;
  private final List<Job> jobs = new ArrayList<>();
  private final List<AccountId> accounts;

  Run(
      Workload workload,
      Scenario scenario,
      PublishedConfig config,
      long seed,
      BiFunction<VirtualTime, Fleet, Dispatcher> kind) {
    this.workload = workload;
    this.scenario = scenario;
    this.config = config;
    this.random = new Random(seed);
    this.fleet = new Fleet(time, config, new ServiceId(workload.service()));
    this.dispatcher = kind.apply(time, fleet);
    this.accounts = List.copyOf(config.accounts().keySet());
  }

  RunResult run() {
    for (Workload.ClassLoad c : workload.classes()) {
      planArrivals(c, new Random(random.nextLong()));
    }
    planStraggling(new Random(random.nextLong()));
    tick();
    time.runUntil(Scenario.END_NANOS);
    long generated = fleet.servers().stream().mapToLong(ServerModel::generated).sum();
    return new RunResult(jobs, generated);
  }

  private void tick() {
    dispatcher.tick();
    time.after(Dispatcher.TICK_MILLIS * Clock.NANOS_PER_MILLI, this::tick);
  }

  private ClassSpec spec(Workload.ClassLoad c) {
    ClassSpec spec = config.classes().get(new ClassId(c.name()));
    if (spec == null) {
      throw new IllegalArgumentException("no class is named " + c.name());
    }
    return spec;
  }

  /** Plans a Poisson process whose rate follows the scenario, by thinning. */
  private void planArrivals(Workload.ClassLoad c, Random r) {
    double workNanos =
        c.prefillMillis() * (double) Clock.NANOS_PER_MILLI + c.meanTokens() * Fleet.TOKEN_NANOS;
    double perNanoAtCapacity = c.workShare() * fleet.slots() / workNanos;
    double peak = Math.max(scenario.baseLoad(), scenario.crestLoad());
    double at = 0;
    while (true) {
      at += -Math.log(1 - r.nextDouble()) / (perNanoAtCapacity * peak);
      if (at >= Scenario.ARRIVALS_END_NANOS) {
        return;
      }
      if (r.nextDouble() * peak < scenario.loadAt((long) at)) {
        plan(c, (long) at, r);
      }
    }
  }

  private void plan(Workload.ClassLoad c, long at, Random r) {
    double length = c.medianTokens() * Math.exp(c.spread() * r.nextGaussian());
    Job job =
        new Job(
            jobs.size() + 1,
            spec(c),
            account(r),
            r.nextInt(Fleet.ROUTERS),
            (int) Math.max(1, Math.min(MAX_TOKENS, length)),
            c.prefillMillis() * Clock.NANOS_PER_MILLI,
            at,
            scenario.isCrest(at),
            c.longOutput());
    jobs.add(job);
    time.after(at, () -> arrive(job));
  }

  private AccountId account(Random r) {
    boolean large = r.nextDouble() < LARGE_ACCOUNTS_SHARE;
    return large
        ? accounts.get(r.nextInt(LARGE_ACCOUNTS))
        : accounts.get(LARGE_ACCOUNTS + r.nextInt(accounts.size() - LARGE_ACCOUNTS));
  }

  private void arrive(Job job) {
    job.longWorkRan =
        fleet.serversOf(fleet.domainOf(job.router)).stream().anyMatch(ServerModel::runsLongWork);
    dispatcher.arrive(job);
    time.after(job.spec.deadline().toNanos(), () -> leaveIfUnanswered(job));
  }

  private void leaveIfUnanswered(Job job) {
    if (job.firstTokenNanos < 0 && !job.refused) {
      job.left = true;
      dispatcher.leave(job);
    }
  }

  private void planStraggling(Random r) {
    if (!scenario.straggling()) {
      return;
    }
    int count = Math.max(1, fleet.servers().size() / Scenario.STRAGGLE_ONE_IN);
    for (long at = 0; at < Scenario.ARRIVALS_END_NANOS; at += Scenario.STRAGGLE_NANOS) {
      for (int i = 0; i < count; i++) {
        ServerModel s = fleet.servers().get(r.nextInt(fleet.servers().size()));
        time.after(at, () -> s.setSlowFactor(Scenario.STRAGGLE_FACTOR));
        time.after(at + Scenario.STRAGGLE_NANOS - 1, () -> s.setSlowFactor(1));
      }
    }
  }
}
