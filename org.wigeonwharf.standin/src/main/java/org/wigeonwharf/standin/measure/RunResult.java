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

  private List<Job> jobsOfClass(String className) {
    return jobs.stream().filter(j -> j.classSpec.id().value().equals(className)).toList();
  }

  private static double percent(List<Job> all, Predicate<Job> counted) {
    return all.isEmpty() ? PERCENT : PERCENT * all.stream().filter(counted).count() / all.size();
  }

  /** Returns the percentage of offered requests whose first token came within the target. */
  double firstTokenAttainment(String className) {
    return percent(jobsOfClass(className), Job::metFirstTokenTarget);
  }

  /** Returns the same for the requests that arrived within the crest. */
  double crestFirstTokenAttainment(String className) {
    return percent(
        jobsOfClass(className).stream().filter(j -> j.arrivedInCrest).toList(),
        Job::metFirstTokenTarget);
  }

  /** Returns the percentage of answered requests whose mean token gap was within the target. */
  double tokenGapAttainment(String className) {
    return percent(
        jobsOfClass(className).stream().filter(Job::isFinished).toList(), Job::metTokenGapTarget);
  }

  /** Returns the percentage of offered requests answered whole. */
  double finishedPercent(String className) {
    return percent(jobsOfClass(className), Job::isFinished);
  }

  /** Returns tokens a second of requests answered whole with their first token in time. */
  double goodput(String className) {
    long tokens =
        jobsOfClass(className).stream()
            .filter(j -> j.isFinished() && j.metFirstTokenTarget())
            .mapToLong(j -> j.outputTokens)
            .sum();
    return tokens * (double) Clock.NANOS_PER_SECOND / Scenario.ARRIVALS_END_NANOS;
  }

  /**
   * Returns the 99th percentile of the time to first token, in milliseconds; misses count as late.
   */
  double firstTokenP99Millis(String className) {
    return quantile(
        jobsOfClass(className).stream().mapToDouble(RunResult::firstTokenMillis).toArray(), P99);
  }

  private static double firstTokenMillis(Job j) {
    long end =
        j.firstTokenNanos < 0
            ? j.arrivedNanos + j.classSpec.deadline().toNanos()
            : j.firstTokenNanos;
    return (end - j.arrivedNanos) / (double) Clock.NANOS_PER_MILLI;
  }

  /** Returns the 95th percentile of the wait for a slot while long work ran, in milliseconds. */
  double waitBehindLongOutputP95Millis(String className) {
    double[] waits =
        jobsOfClass(className).stream()
            .filter(j -> j.arrivedDuringLongOutput && !j.refused)
            .mapToDouble(RunResult::waitMillis)
            .toArray();
    return quantile(waits, P95);
  }

  private static double waitMillis(Job j) {
    long end =
        j.startedNanos < 0 ? j.arrivedNanos + j.classSpec.deadline().toNanos() : j.startedNanos;
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
  double wastedWorkPercent() {
    long useful = jobs.stream().filter(Job::isFinished).mapToLong(j -> j.outputTokens).sum();
    long repeated = jobs.stream().mapToLong(j -> j.wastedTokens).sum();
    return generatedTokens == 0
        ? 0
        : PERCENT * (generatedTokens - useful + repeated) / generatedTokens;
  }
}
