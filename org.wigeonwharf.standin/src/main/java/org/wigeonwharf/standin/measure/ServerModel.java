package org.wigeonwharf.standin.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.wigeonwharf.config.BackendServer;

/**
 * A ServerModel is a model engine in virtual time: a batch of slots, a prefill, then tokens one at
 * a time. Work beyond the batch waits first in, first out. A straggling server takes a factor
 * longer.
 */
final class ServerModel {
  private final VirtualTime time;
  private final BackendServer server;
  private final long tokenNanos;
  private final Deque<Assignment> waiting = new ArrayDeque<>();
  private final Map<Job, Assignment> running = new LinkedHashMap<>();
  private double slowFactor = 1;
  private long generated;

  /** One job at this server. */
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

  /** Starts or queues a job; a resumed job goes on behind the tokens it has. */
  void submit(Job job, Consumer<Job> onFinished) {
    waiting.add(new Assignment(job, onFinished));
    startWaitingJobs();
  }

  /** Takes a job away, waiting or running. */
  void cancel(Job job) {
    Assignment w = running.remove(job);
    if (w != null) {
      w.cancelled = true;
      startWaitingJobs();
      return;
    }
    waiting.removeIf(x -> x.job == job);
  }

  private void startWaitingJobs() {
    while (running.size() < server.slots() && !waiting.isEmpty()) {
      Assignment w = waiting.poll();
      running.put(w.job, w);
      if (w.job.startedNanos < 0) {
        w.job.startedNanos = time.nanos();
      }
      time.schedule(slowed(w.job.prefillNanos + tokenNanos), () -> generateToken(w));
    }
  }

  private long slowed(long nanos) {
    return (long) (nanos * slowFactor);
  }

  private void generateToken(Assignment w) {
    if (w.cancelled) {
      return;
    }
    Job j = w.job;
    j.generatedTokens++;
    generated++;
    if (j.firstTokenNanos < 0) {
      j.firstTokenNanos = time.nanos();
    }
    if (j.generatedTokens < j.outputTokens) {
      time.schedule(slowed(tokenNanos), () -> generateToken(w));
      return;
    }
    running.remove(j);
    j.endedNanos = time.nanos();
    w.onFinished.accept(j);
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
