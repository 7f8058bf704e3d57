package org.wigeonwharf.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Keeps past load reports of an engine, so that the engine can serve an outdated report. */
final class LoadHistory {
  private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int MAX_REPORTS = 1_000;

  private final TreeMap<Long, String> reports = new TreeMap<>();

  void add(long nowNanos, String report) {
    if (!reports.isEmpty() && nowNanos - reports.lastKey() < MIN_INTERVAL_NANOS) {
      return;
    }
    reports.put(nowNanos, report);
    if (reports.size() > MAX_REPORTS) {
      reports.pollFirstEntry();
    }
  }

  /**
   * Returns the report that was current at a monotonic time in nanoseconds, or the oldest retained
   * report if none is that old.
   */
  String reportAt(long nanos) {
    Map.Entry<Long, String> entry = reports.floorEntry(nanos);
    if (entry != null) {
      return entry.getValue();
    }
    return reports.isEmpty() ? "{}" : reports.firstEntry().getValue();
  }
}
