package org.wigeonwharf.gateway.retry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * A RetryBudget bounds how many extra sends this router adds to a service in a sliding window.
 *
 * <p>Each router keeps to a share of its own requests, so the sum over the fleet keeps to the same
 * share whatever the number of routers; only the fixed slack is divided by a bound of that number.
 */
public final class RetryBudget {
  /** Buckets that a window is counted in; finer ones cost memory, coarser ones lag. */
  private static final int BUCKETS = 20;

  /** Part of the ratio that is used: arrivals reach servers up to a bucket later than counted. */
  private static final double SAFETY_FACTOR = 0.9;

  private double ratio;
  private double slack;
  private final long bucketNanos;
  private final Map<String, Window> services = new HashMap<>();

  /** A Window counts one service's requests and extra sends by time. */
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
   * Creates a budget that allows nothing yet.
   *
   * @param windowNanos the length of the window
   */
  public RetryBudget(long windowNanos) {
    this.bucketNanos = Math.max(1, windowNanos / BUCKETS);
  }

  /**
   * Sets what is allowed.
   *
   * @param ratio extra sends per request that the fleet may make
   * @param slack extra sends per window that this router may make beyond the ratio
   */
  public void setLimits(double ratio, double slack) {
    this.ratio = ratio;
    this.slack = slack;
  }

  /**
   * Counts a request of a caller.
   *
   * @param service the service it goes to
   * @param now the current time in nanoseconds
   */
  public void recordRequest(String service, long now) {
    Window w = window(service, now);
    w.requests[Window.index(w.newestBucket)]++;
  }

  /**
   * Takes one extra send from the budget.
   *
   * @param service the service it goes to
   * @param now the current time in nanoseconds
   * @return true if the send may be made; false if the budget is spent
   */
  public boolean tryAcquire(String service, long now) {
    Window w = window(service, now);
    double allowed = ratio * SAFETY_FACTOR * Window.sum(w.requests) + slack;
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
