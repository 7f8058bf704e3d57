package org.wigeonwharf.standin.measure;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import org.wigeonwharf.model.Clock;

/** A RunResult is what came of one run's jobs. */
final class RunResult {
  private static final double PERCENT = 100;
  private static final double P99 = 0.99;
  private static final double P95 = 0.95;

  private final List<Job> jobs;
  private final long generatedTokens;

  RunResult(List<Job> jobs, long generatedTokens) {
    this.jobs = jobs;
    this.generatedTokens = generatedTokens;
  }

  private List<Job> of(String name) {
    return jobs.stream().filter(j -> j.spec.id().value().equals(name)).toList();
  }

  private static double percent(List<Job> all, Predicate<Job> good) {
    return all.isEmpty() ? PERCENT : PERCENT * all.stream().filter(good).count() / all.size();
  }

  /** Returns the percentage of offered requests whose first token came within the target. */
  double firstTokenAttainment(String name) {
    return percent(of(name), Job::metFirstToken);
  }

  /** Returns the same for the requests that arrived within the crest. */
  double crestAttainment(String name) {
    return percent(of(name).stream().filter(j -> j.inCrest).toList(), Job::metFirstToken);
  }

  /** Returns the percentage of answered requests whose mean token gap was within the target. */
  double tokenGapAttainment(String name) {
    return percent(of(name).stream().filter(Job::isFinished).toList(), Job::metTokenGap);
  }

  /** Returns the percentage of offered requests answered whole. */
  double finished(String name) {
    return percent(of(name), Job::isFinished);
  }

  /** Returns tokens a second of requests answered whole with their first token in time. */
  double goodput(String name) {
    long tokens =
        of(name).stream()
            .filter(j -> j.isFinished() && j.metFirstToken())
            .mapToLong(j -> j.tokens)
            .sum();
    return tokens * (double) Clock.NANOS_PER_SECOND / Scenario.ARRIVALS_END_NANOS;
  }

  /**
   * Returns the 99th percentile of the time to first token, in milliseconds; misses count as late.
   */
  double firstTokenP99(String name) {
    return quantile(of(name).stream().mapToDouble(RunResult::firstTokenMillis).toArray(), P99);
  }

  private static double firstTokenMillis(Job j) {
    long end =
        j.firstTokenNanos < 0 ? j.arrivedNanos + j.spec.deadline().toNanos() : j.firstTokenNanos;
    return (end - j.arrivedNanos) / (double) Clock.NANOS_PER_MILLI;
  }

  /** Returns the 95th percentile of the wait for a slot while long work ran, in milliseconds. */
  double waitBehindLongP95(String name) {
    double[] waits =
        of(name).stream()
            .filter(j -> j.longWorkRan && !j.refused)
            .mapToDouble(RunResult::waitMillis)
            .toArray();
    return quantile(waits, P95);
  }

  private static double waitMillis(Job j) {
    long end = j.startedNanos < 0 ? j.arrivedNanos + j.spec.deadline().toNanos() : j.startedNanos;
    return (end - j.arrivedNanos) / (double) Clock.NANOS_PER_MILLI;
  }

  private static double quantile(double[] values, double q) {
    if (values.length == 0) {
      return 0;
    }
    Arrays.sort(values);
    return values[(int) Math.min(values.length - 1, Math.floor(q * values.length))];
  }

  /** Returns the percentage of generated tokens that no caller got in a whole answer. */
  double wasted() {
    long useful = jobs.stream().filter(Job::isFinished).mapToLong(j -> j.tokens).sum();
    long repeated = jobs.stream().mapToLong(j -> j.wastedTokens).sum();
    return generatedTokens == 0
        ? 0
        : PERCENT * (generatedTokens - useful + repeated) / generatedTokens;
  }
}
