package org.wigeonwharf.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Verdict;

/** Records metrics of callers' requests. */
public final class RelayMetrics {
  /** How a request ended for its caller. */
  public enum End {
    /** The complete response was delivered. */
    ANSWERED("answered"),
    /** The caller got a problem instead of a backend server's response. */
    REFUSED("refused"),
    /** The response was visibly truncated. */
    CUT("cut"),
    /** The caller disconnected before the complete response was delivered. */
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
   * @param registry the metrics registry of this process
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
   * Records the time to the first byte of a response.
   *
   * @param serviceClass the request's class
   * @param nanos time since the request arrived, in nanoseconds
   */
  public void recordFirstByte(ClassId serviceClass, long nanos) {
    registry
        .timer(PREFIX + "first-byte." + serviceClass.value())
        .update(nanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Counts tokens that were generated for a response that was not delivered completely.
   *
   * @param tokens a count
   */
  public void addWastedTokens(int tokens) {
    wastedTokens.inc(tokens);
  }

  /** Counts a retry of a request, which is a new run. */
  public void recordRetry() {
    retries.inc();
  }

  /** Counts an attempt to resume a stream at its offset. */
  public void recordResume() {
    resumes.inc();
  }

  /** Counts a stream that was preempted by a higher tier. */
  public void recordPreemption() {
    preemptions.inc();
  }
}
