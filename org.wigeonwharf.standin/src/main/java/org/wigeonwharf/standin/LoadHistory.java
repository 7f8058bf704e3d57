package org.wigeonwharf.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A LoadHistory remembers an engine's load reports, so that a late one can be given. */
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

  /** Returns the report that was true at a time, or the oldest one known. */
  String reportAt(long nanos) {
    Map.Entry<Long, String> entry = reports.floorEntry(nanos);
    if (entry != null) {
      return entry.getValue();
    }
    return reports.isEmpty() ? "{}" : reports.firstEntry().getValue();
  }
}
