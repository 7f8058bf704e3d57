package org.wigeonwharf.schedule;

import org.wigeonwharf.config.BackendServer;
import org.wigeonwharf.model.Clock;

/**
 * A ServerState is what a scheduler knows of one backend server: the leases out, its observed speed
 * and its own reports. Not thread-safe.
 */
final class ServerState {
  /** Shortest time without grants after the server refused to start, in milliseconds. */
  static final long MIN_BACKOFF_MILLIS = 100;

  /** Longest time without grants after the server refused to start, in milliseconds. */
  static final long MAX_BACKOFF_MILLIS = 5_000;

  /** Shortest time between two changes of the slot limit downward, in milliseconds. */
  static final long LOWER_INTERVAL_MILLIS = 1_000;

  /** Shortest time between two changes of the slot limit upward, in milliseconds. */
  static final long RAISE_INTERVAL_MILLIS = 5_000;

  /** How long an own report counts, in milliseconds. */
  static final long REPORT_VALIDITY_MILLIS = 5_000;

  final SpeedEstimate speed = new SpeedEstimate();
  private BackendServer server;
  private int used;
  private int background;
  private int limit;
  private long backoffMillis;
  private long backoffUntilNanos;
  private long limitChangedNanos;
  private int externalRequests;
  private long externalUntilNanos;
  private long lastGrantNanos;

  ServerState(BackendServer server, long nowNanos) {
    this.server = server;
    this.limit = server.slots();
    this.backoffUntilNanos = nowNanos;
    this.limitChangedNanos = nowNanos;
    this.externalUntilNanos = nowNanos;
    this.lastGrantNanos = nowNanos;
  }

  BackendServer server() {
    return server;
  }

  /**
   * Takes the server's published settings.
   *
   * @param next the settings; a changed number of slots is in force at once
   */
  void configure(BackendServer next) {
    limit = next.slots() == server.slots() ? limit : next.slots();
    server = next;
  }

  void occupy(boolean isBackground) {
    used++;
    background += isBackground ? 1 : 0;
  }

  void release(boolean wasBackground) {
    used--;
    background -= wasBackground ? 1 : 0;
  }

  /** Notes that a running request counts as long from now on. */
  void moveToBackground() {
    background++;
  }

  int used() {
    return used;
  }

  int limit() {
    return limit;
  }

  /**
   * Returns how many requests may be granted now.
   *
   * @param isBackground true for work that must leave the headroom free
   * @param headroom slots kept for short urgent work
   * @param nowNanos the time
   * @return slots, not below 0
   */
  int freeSlots(boolean isBackground, int headroom, long nowNanos) {
    if (server.leaving() || nowNanos - backoffUntilNanos < 0) {
      return 0;
    }
    int free = limit - used;
    if (isBackground) {
      free = Math.min(free, limit - headroom - background);
    }
    return Math.max(0, free);
  }

  /**
   * Returns the part of the slots that are taken.
   *
   * @param nowNanos the time
   * @return from 0; above 1 if the server has work beyond its limit
   */
  double load(long nowNanos) {
    int external = nowNanos - externalUntilNanos < 0 ? externalRequests : 0;
    return (used + external) / (double) Math.max(1, limit);
  }

  /**
   * Takes the server's own report. Work beyond the own leases is another scheduler's.
   *
   * @param report the report
   * @param nowNanos the time
   */
  void applyReport(LoadReport report, long nowNanos) {
    externalRequests = Math.max(0, report.running() + report.waiting() - used);
    long remainingMillis = Math.max(0, REPORT_VALIDITY_MILLIS - report.ageMillis());
    externalUntilNanos = nowNanos + remainingMillis * Clock.NANOS_PER_MILLI;
  }

  /**
   * Holds back grants after the server refused to start a request, twice as long each time.
   *
   * @param nowNanos the time
   */
  void backOff(long nowNanos) {
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, backoffMillis * 2));
    backoffUntilNanos = nowNanos + backoffMillis * Clock.NANOS_PER_MILLI;
  }

  /** Ends the growth of the backoff. */
  void resetBackoff() {
    backoffMillis = 0;
  }

  /**
   * Adapts the slot limit to the token gap seen.
   *
   * @param gapMillis the gap seen, in milliseconds
   * @param targetMillis the wanted gap, in milliseconds
   * @param nowNanos the time
   */
  void adaptLimit(double gapMillis, double targetMillis, long nowNanos) {
    long sinceMillis = (nowNanos - limitChangedNanos) / Clock.NANOS_PER_MILLI;
    if (gapMillis > targetMillis && sinceMillis >= LOWER_INTERVAL_MILLIS) {
      limit = Math.max(1, limit - 1);
      limitChangedNanos = nowNanos;
    } else if (gapMillis <= targetMillis
        && sinceMillis >= RAISE_INTERVAL_MILLIS
        && limit < server.slots()) {
      limit++;
      limitChangedNanos = nowNanos;
    }
  }

  /**
   * Tells whether a probe is due on a server on probation.
   *
   * @param intervalMillis time between probes in milliseconds
   * @param nowNanos the time
   * @return true if the last was long enough ago
   */
  boolean isProbeDue(long intervalMillis, long nowNanos) {
    return nowNanos - lastGrantNanos >= intervalMillis * Clock.NANOS_PER_MILLI;
  }

  /**
   * Notes a grant.
   *
   * @param nowNanos the time
   */
  void recordGrant(long nowNanos) {
    lastGrantNanos = nowNanos;
  }
}
