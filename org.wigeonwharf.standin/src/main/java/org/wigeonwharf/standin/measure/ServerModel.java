package org.wigeonwharf.standin.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.wigeonwharf.config.BackendServer;

/**
 * Simulates a model engine in virtual time.
 *
 * <p>Each job occupies one slot of the batch for its prefill and then generates one token at a
 * time. Jobs beyond the batch size wait first in, first out. The slow factor lengthens the prefill
 * and the time between tokens.
 */
final class ServerModel {
  private final VirtualTime time;
  private final BackendServer server;
  private final long tokenNanos;
  private final Deque<Assignment> waiting = new ArrayDeque<>();
  private final Map<Job, Assignment> running = new LinkedHashMap<>();
  private double slowFactor = 1;
  private long generated;

  /** A job submitted to this server. */
  private static final class Assignment {
    final Job job;
    final Consumer<Job> onFinished;
    boolean cancelled;

    Assignment(Job job, Consumer<Job> onFinished) {
      this.job = job;
      this.onFinished = onFinished;
    }
  }

  ServerModel(VirtualTime time, BackendServer server, long tokenNanos) {
    this.time = time;
    this.server = server;
    this.tokenNanos = tokenNanos;
  }

  BackendServer server() {
    return server;
  }

  void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /** Starts or queues a job; a resumed job continues after the tokens it already has. */
  void submit(Job job, Consumer<Job> onFinished) {
    waiting.add(new Assignment(job, onFinished));
    startWaitingJobs();
  }

  /** Cancels a waiting or running job. */
  void cancel(Job job) {
    Assignment a = running.remove(job);
    if (a != null) {
      a.cancelled = true;
      startWaitingJobs();
      return;
    }
    waiting.removeIf(x -> x.job == job);
  }

  private void startWaitingJobs() {
    while (running.size() < server.slots() && !waiting.isEmpty()) {
      Assignment a = waiting.poll();
      running.put(a.job, a);
      if (a.job.startedNanos < 0) {
        a.job.startedNanos = time.nanos();
      }
      time.schedule(slowed(a.job.prefillNanos + tokenNanos), () -> generateToken(a));
    }
  }

  private long slowed(long nanos) {
    return (long) (nanos * slowFactor);
  }

  private void generateToken(Assignment a) {
    if (a.cancelled) {
      return;
    }
    Job j = a.job;
    j.generatedTokens++;
    generated++;
    if (j.firstTokenNanos < 0) {
      j.firstTokenNanos = time.nanos();
    }
    if (j.generatedTokens < j.outputTokens) {
      time.schedule(slowed(tokenNanos), () -> generateToken(a));
      return;
    }
    running.remove(j);
    j.endedNanos = time.nanos();
    a.onFinished.accept(j);
    startWaitingJobs();
  }

  boolean isRunningLongOutput() {
    return running.keySet().stream().anyMatch(j -> j.longOutput);
  }

  int running() {
    return running.size();
  }

  int waiting() {
    return waiting.size();
  }

  long generated() {
    return generated;
  }
}
