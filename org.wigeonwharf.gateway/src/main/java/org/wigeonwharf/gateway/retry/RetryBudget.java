package org.wigeonwharf.gateway.retry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;

/**
 * Limits the retries that this router sends to a service in a sliding window. Not thread-safe.
 *
 * <p>Each router stays within a ratio of its own requests, so the whole fleet stays within the same
 * ratio whatever the number of routers. Only the fixed slack has to be divided among the routers.
 */
public final class RetryBudget {
  /** Number of buckets per window. More buckets cost memory; with fewer, the window lags. */
  private static final int BUCKETS = 20;

  /**
   * Fraction of the ratio that is used. The margin covers requests that reach servers up to one
   * bucket later than they are counted.
   */
  private static final double SAFETY_FACTOR = 0.9;

  private double ratio;
  private double slack;
  private final long bucketNanos;
  private final DoubleUnaryOperator slackShare;
  private final Map<String, Window> services = new HashMap<>();

  /** Counts the requests and retries of one service by time. */
  private static final class Window {
    private final long[] requests = new long[BUCKETS];
    private final long[] retries = new long[BUCKETS];
    private long newestBucket = Long.MIN_VALUE;

    void advance(long bucket) {
      if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= BUCKETS) {
        Arrays.fill(requests, 0);
        Arrays.fill(retries, 0);
        newestBucket = bucket;
        return;
      }
      while (newestBucket < bucket) {
        newestBucket++;
        requests[index(newestBucket)] = 0;
        retries[index(newestBucket)] = 0;
      }
    }

    static int index(long bucket) {
      return (int) Math.floorMod(bucket, (long) BUCKETS);
    }

    static long sum(long[] counts) {
      long n = 0;
      for (long c : counts) {
        n += c;
      }
      return n;
    }
  }

  /**
   * Creates a budget that allows no retries until limits are set.
   *
   * @param windowNanos the length of the window in nanoseconds
   * @param slackShare returns this router's part of the fleet's slack
   */
  public RetryBudget(long windowNanos, DoubleUnaryOperator slackShare) {
    this.bucketNanos = Math.max(1, windowNanos / BUCKETS);
    this.slackShare = slackShare;
  }

  /**
   * Sets the limits.
   *
   * @param ratio retries per request that the fleet may send
   * @param slack retries per window that the fleet may send in addition to the ratio
   */
  public void setLimits(double ratio, double slack) {
    this.ratio = ratio;
    this.slack = slack;
  }

  /**
   * Records a request of a caller.
   *
   * @param service the service it goes to
   * @param now the current time in nanoseconds
   */
  public void recordRequest(String service, long now) {
    Window w = window(service, now);
    w.requests[Window.index(w.newestBucket)]++;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param service the service it goes to
   * @param now the current time in nanoseconds
   * @return true if the retry may be sent; false if the budget is spent
   */
  public boolean tryAcquire(String service, long now) {
    Window w = window(service, now);
    double allowed =
        ratio * SAFETY_FACTOR * Window.sum(w.requests) + slackShare.applyAsDouble(slack);
    if (Window.sum(w.retries) + 1 > allowed) {
      return false;
    }
    w.retries[Window.index(w.newestBucket)]++;
    return true;
  }

  private Window window(String service, long now) {
    Window w = services.computeIfAbsent(service, s -> new Window());
    w.advance(Math.floorDiv(now, bucketNanos));
    return w;
  }
}
