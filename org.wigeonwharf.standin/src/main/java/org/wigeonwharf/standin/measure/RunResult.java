package org.wigeonwharf.standin.measure;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import org.wigeonwharf.model.Clock;

/** Computes the metrics of one run from the outcomes of its jobs. */
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

  /** Returns the percentage of offered requests that met their first-token target. */
  double firstTokenAttainment(String className) {
    return percent(jobsOfClass(className), Job::metFirstTokenTarget);
  }

  /** Returns the first-token attainment of the requests that arrived during the load crest. */
  double crestFirstTokenAttainment(String className) {
    return percent(
        jobsOfClass(className).stream().filter(j -> j.arrivedInCrest).toList(),
        Job::metFirstTokenTarget);
  }

  /**
   * Returns the percentage of completely answered requests whose mean inter-token latency was
   * within the token-gap target.
   */
  double tokenGapAttainment(String className) {
    return percent(
        jobsOfClass(className).stream().filter(Job::isFinished).toList(), Job::metTokenGapTarget);
  }

  /** Returns the percentage of offered requests that were answered completely. */
  double finishedPercent(String className) {
    return percent(jobsOfClass(className), Job::isFinished);
  }

  /**
   * Returns the tokens per second of requests that were answered completely and met their
   * first-token target, over the time in which requests arrive.
   */
  double goodput(String className) {
    long tokens =
        jobsOfClass(className).stream()
            .filter(j -> j.isFinished() && j.metFirstTokenTarget())
            .mapToLong(j -> j.outputTokens)
            .sum();
    return tokens * (double) Clock.NANOS_PER_SECOND / Scenario.ARRIVALS_END_NANOS;
  }

  /**
   * Returns the 99th percentile of the time to first token in milliseconds; a request without a
   * first token counts with its deadline.
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

  /**
   * Returns the 95th percentile, in milliseconds, of the wait for a slot of requests that arrived
   * while a long output was running in their failure domain. Refused requests don't count.
   */
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

  /**
   * Returns the percentage of generated tokens that were not part of a complete answer, counting
   * the work repeated by resumed requests as well.
   */
  double wastedWorkPercent() {
    long useful = jobs.stream().filter(Job::isFinished).mapToLong(j -> j.outputTokens).sum();
    long repeated = jobs.stream().mapToLong(j -> j.wastedTokens).sum();
    return generatedTokens == 0
        ? 0
        : PERCENT * (generatedTokens - useful + repeated) / generatedTokens;
  }
}
