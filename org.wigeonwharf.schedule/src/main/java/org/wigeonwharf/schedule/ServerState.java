package org.wigeonwharf.schedule;

import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.model.Clock;

/**
 * Tracks one backend server for a scheduler: its running leases, observed speed and load reports.
 * Not thread-safe.
 */
final class ServerState {
  /** Shortest pause of grants after the server refused to start a request, in milliseconds. */
  static final long MIN_BACKOFF_MILLIS = 100;

  /** Longest pause of grants after the server refused to start a request, in milliseconds. */
  static final long MAX_BACKOFF_MILLIS = 5_000;

  /** Minimum time from a change of the slot limit to the next decrease, in milliseconds. */
  static final long LIMIT_DECREASE_INTERVAL_MILLIS = 1_000;

  /** Minimum time from a change of the slot limit to the next increase, in milliseconds. */
  static final long LIMIT_INCREASE_INTERVAL_MILLIS = 5_000;

  /** Age from which a load report of the server no longer counts, in milliseconds. */
  static final long REPORT_VALIDITY_MILLIS = 5_000;

  final SpeedEstimate speed = new SpeedEstimate();
  private BackendServer server;
  private int usedSlots;
  private int backgroundSlots;
  private int slotLimit;
  private long backoffMillis;
  private long backoffUntilNanos;
  private long limitChangedNanos;
  private int externalRequests;
  private long externalUntilNanos;
  private long lastGrantNanos;

  ServerState(BackendServer server, long nowNanos) {
    this.server = server;
    this.slotLimit = server.slots();
    this.backoffUntilNanos = nowNanos;
    this.limitChangedNanos = nowNanos;
    this.externalUntilNanos = nowNanos;
    this.lastGrantNanos = nowNanos;
  }

  BackendServer server() {
    return server;
  }

  /**
   * Applies the server's published settings.
   *
   * @param next the settings; a changed number of slots replaces the slot limit at once
   */
  void configure(BackendServer next) {
    slotLimit = next.slots() == server.slots() ? slotLimit : next.slots();
    server = next;
  }

  void occupy(boolean isBackground) {
    usedSlots++;
    backgroundSlots += isBackground ? 1 : 0;
  }

  void release(boolean wasBackground) {
    usedSlots--;
    backgroundSlots -= wasBackground ? 1 : 0;
  }

  /** Counts a running foreground request as background from now on. */
  void moveToBackground() {
    backgroundSlots++;
  }

  int usedSlots() {
    return usedSlots;
  }

  int slotLimit() {
    return slotLimit;
  }

  /**
   * Returns the number of slots that may be granted now.
   *
   * @param isBackground true for work that must leave the headroom free
   * @param headroom number of slots kept for foreground work
   * @param nowNanos the current monotonic time in nanoseconds
   * @return number of slots, at least 0
   */
  int freeSlots(boolean isBackground, int headroom, long nowNanos) {
    if (server.leaving() || nowNanos - backoffUntilNanos < 0) {
      return 0;
    }
    int free = slotLimit - usedSlots;
    if (isBackground) {
      free = Math.min(free, slotLimit - headroom - backgroundSlots);
    }
    return Math.max(0, free);
  }

  /**
   * Returns the ratio of the server's requests to its slot limit.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   * @return at least 0; above 1 if the server has more requests than its limit
   */
  double load(long nowNanos) {
    int external = nowNanos - externalUntilNanos < 0 ? externalRequests : 0;
    return (usedSlots + external) / (double) Math.max(1, slotLimit);
  }

  /**
   * Applies the server's load report. Requests beyond this scheduler's own leases count as granted
   * by another scheduler until the report expires.
   *
   * @param report the report
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void applyReport(LoadReport report, long nowNanos) {
    externalRequests = Math.max(0, report.running() + report.waiting() - usedSlots);
    long remainingMillis = Math.max(0, REPORT_VALIDITY_MILLIS - report.ageMillis());
    externalUntilNanos = nowNanos + remainingMillis * Clock.NANOS_PER_MILLI;
  }

  /**
   * Pauses grants after the server refused to start a request, with exponential backoff.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void backOff(long nowNanos) {
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, backoffMillis * 2));
    backoffUntilNanos = nowNanos + backoffMillis * Clock.NANOS_PER_MILLI;
  }

  /** Resets the backoff delay to its minimum after a finished request. */
  void resetBackoff() {
    backoffMillis = 0;
  }

  /**
   * Adapts the slot limit to the observed inter-token latency.
   *
   * @param gapMillis observed inter-token latency in milliseconds
   * @param targetMillis target for the inter-token latency in milliseconds
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void adaptLimit(double gapMillis, double targetMillis, long nowNanos) {
    long sinceMillis = (nowNanos - limitChangedNanos) / Clock.NANOS_PER_MILLI;
    if (gapMillis > targetMillis && sinceMillis >= LIMIT_DECREASE_INTERVAL_MILLIS) {
      slotLimit = Math.max(1, slotLimit - 1);
      limitChangedNanos = nowNanos;
    } else if (gapMillis <= targetMillis
        && sinceMillis >= LIMIT_INCREASE_INTERVAL_MILLIS
        && slotLimit < server.slots()) {
      slotLimit++;
      limitChangedNanos = nowNanos;
    }
  }

  /**
   * Returns whether a probe of a server on probation is due.
   *
   * @param intervalMillis time between probes in milliseconds
   * @param nowNanos the current monotonic time in nanoseconds
   * @return true if the last grant is at least the interval ago
   */
  boolean isProbeDue(long intervalMillis, long nowNanos) {
    return nowNanos - lastGrantNanos >= intervalMillis * Clock.NANOS_PER_MILLI;
  }

  /**
   * Records a grant.
   *
   * @param nowNanos the current monotonic time in nanoseconds
   */
  void recordGrant(long nowNanos) {
    lastGrantNanos = nowNanos;
  }
}
