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

/** Simulates one dispatcher under one scenario with one random seed. */
final class Run {
  private static final int LARGE_ACCOUNT_COUNT = 3;
  private static final double LARGE_ACCOUNT_TRAFFIC_SHARE = 0.7;
  private static final int MAX_OUTPUT_TOKENS = 8_000;

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
      BiFunction<VirtualTime, Fleet, Dispatcher> dispatcherFactory) {
    this.workload = workload;
    this.scenario = scenario;
    this.config = config;
    this.random = new Random(seed);
    this.fleet = new Fleet(time, config, new ServiceId(workload.service()));
    this.dispatcher = dispatcherFactory.apply(time, fleet);
    this.accounts = List.copyOf(config.accounts().keySet());
  }

  RunResult run() {
    for (Workload.ClassLoad c : workload.classes()) {
      scheduleArrivals(c, new Random(random.nextLong()));
    }
    scheduleStragglers(new Random(random.nextLong()));
    tick();
    time.runUntil(Scenario.END_NANOS);
    long generated = fleet.servers().stream().mapToLong(ServerModel::generated).sum();
    return new RunResult(jobs, generated);
  }

  private void tick() {
    dispatcher.tick();
    time.schedule(Dispatcher.TICK_MILLIS * Clock.NANOS_PER_MILLI, this::tick);
  }

  private ClassSpec classSpec(Workload.ClassLoad c) {
    ClassSpec spec = config.classes().get(new ClassId(c.name()));
    if (spec == null) {
      throw new IllegalArgumentException("unknown class " + c.name());
    }
    return spec;
  }

  /**
   * Schedules the arrivals of one class as an inhomogeneous Poisson process whose rate follows the
   * scenario, sampled by thinning.
   */
  private void scheduleArrivals(Workload.ClassLoad c, Random r) {
    double meanServiceNanos =
        c.prefillMillis() * (double) Clock.NANOS_PER_MILLI
            + c.meanTokens() * Fleet.TOKEN_INTERVAL_NANOS;
    double arrivalsPerNanoAtCapacity = c.slotTimeShare() * fleet.slots() / meanServiceNanos;
    double peakLoad = Math.max(scenario.baseLoad(), scenario.crestLoad());
    double atNanos = 0;
    while (true) {
      atNanos += -Math.log(1 - r.nextDouble()) / (arrivalsPerNanoAtCapacity * peakLoad);
      if (atNanos >= Scenario.ARRIVALS_END_NANOS) {
        return;
      }
      if (r.nextDouble() * peakLoad < scenario.loadAt((long) atNanos)) {
        scheduleArrival(c, (long) atNanos, r);
      }
    }
  }

  private void scheduleArrival(Workload.ClassLoad c, long atNanos, Random r) {
    double outputTokens = c.medianTokens() * Math.exp(c.sigma() * r.nextGaussian());
    Job job =
        new Job(
            jobs.size() + 1,
            classSpec(c),
            pickAccount(r),
            r.nextInt(Fleet.ROUTER_COUNT),
            (int) Math.max(1, Math.min(MAX_OUTPUT_TOKENS, outputTokens)),
            c.prefillMillis() * Clock.NANOS_PER_MILLI,
            atNanos,
            scenario.isCrest(atNanos),
            c.longOutput());
    jobs.add(job);
    time.schedule(atNanos, () -> submit(job));
  }

  private AccountId pickAccount(Random r) {
    boolean large = r.nextDouble() < LARGE_ACCOUNT_TRAFFIC_SHARE;
    return large
        ? accounts.get(r.nextInt(LARGE_ACCOUNT_COUNT))
        : accounts.get(LARGE_ACCOUNT_COUNT + r.nextInt(accounts.size() - LARGE_ACCOUNT_COUNT));
  }

  private void submit(Job job) {
    job.arrivedDuringLongOutput =
        fleet.serversOf(fleet.domainOf(job.routerIndex)).stream()
            .anyMatch(ServerModel::isRunningLongOutput);
    dispatcher.submit(job);
    time.schedule(job.classSpec.deadline().toNanos(), () -> cancelIfNoFirstToken(job));
  }

  private void cancelIfNoFirstToken(Job job) {
    if (job.firstTokenNanos < 0 && !job.refused) {
      job.abandoned = true;
      dispatcher.cancel(job);
    }
  }

  private void scheduleStragglers(Random r) {
    if (!scenario.hasStragglers()) {
      return;
    }
    int count = Math.max(1, fleet.servers().size() / Scenario.SERVERS_PER_STRAGGLER);
    for (long atNanos = 0;
        atNanos < Scenario.ARRIVALS_END_NANOS;
        atNanos += Scenario.STRAGGLER_PERIOD_NANOS) {
      for (int i = 0; i < count; i++) {
        ServerModel s = fleet.servers().get(r.nextInt(fleet.servers().size()));
        time.schedule(atNanos, () -> s.setSlowFactor(Scenario.STRAGGLER_SLOW_FACTOR));
        time.schedule(atNanos + Scenario.STRAGGLER_PERIOD_NANOS - 1, () -> s.setSlowFactor(1));
      }
    }
  }
}
