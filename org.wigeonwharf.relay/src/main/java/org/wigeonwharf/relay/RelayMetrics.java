package org.wigeonwharf.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Verdict;

/** RelayMetrics counts what became of callers' requests. */
public final class RelayMetrics {
  /** How a request ended at the caller. */
  public enum End {
    /** The whole answer was delivered. */
    ANSWERED("answered"),
    /** A problem was answered in place of a backend server's answer. */
    REFUSED("refused"),
    /** The answer was broken off visibly. */
    CUT("cut"),
    /** The caller left before the whole answer was delivered. */
    CALLER_LEFT("caller-left");

    private final String wireName;

    End(String wireName) {
      this.wireName = wireName;
    }
  }

  private static final String PREFIX = "relay.";

  private final MetricRegistry registry;
  private final Counter wastedTokens;
  private final Counter retries;
  private final Counter resumes;
  private final Counter preemptions;

  /**
   * Registers the counters.
   *
   * @param registry the process's metrics
   */
  public RelayMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.wastedTokens = registry.counter(PREFIX + "tokens.wasted");
    this.retries = registry.counter(PREFIX + "retries");
    this.resumes = registry.counter(PREFIX + "resumes");
    this.preemptions = registry.counter(PREFIX + "preemptions");
  }

  /**
   * Counts the end of a request.
   *
   * @param serviceClass its class
   * @param end how it ended
   * @param verdict whether it may have run
   */
  public void recordEnd(ClassId serviceClass, End end, Verdict verdict) {
    registry.counter(PREFIX + "requests." + serviceClass.value() + "." + end.wireName).inc();
    registry.counter(PREFIX + "verdicts." + verdict.wireName()).inc();
  }

  /**
   * Notes the first byte of an answer.
   *
   * @param serviceClass the request's class
   * @param nanos time since the request arrived, in ns
   */
  public void recordFirstByte(ClassId serviceClass, long nanos) {
    registry
        .timer(PREFIX + "first-byte." + serviceClass.value())
        .update(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Counts tokens that were generated for an answer that was not delivered whole.
   *
   * @param tokens a count
   */
  public void addWastedTokens(int tokens) {
    wastedTokens.inc(tokens);
  }

  /** Counts one more attempt of a request as a new run. */
  public void recordRetry() {
    retries.inc();
  }

  /** Counts one stream that is to be continued at its offset. */
  public void recordResume() {
    resumes.inc();
  }

  /** Counts one stream that gave way to a higher tier. */
  public void recordPreemption() {
    preemptions.inc();
  }
}
