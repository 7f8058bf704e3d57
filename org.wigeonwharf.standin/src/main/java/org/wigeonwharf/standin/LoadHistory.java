package org.wigeonwharf.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** A LoadHistory remembers an engine's load reports, so that a late one can be given. */
final class LoadHistory {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int MAX_REPORTS = 1_000;

  private final TreeMap<Long, String> reports = new TreeMap<>();

  void note(long nowNanos, String report) {
    if (!reports.isEmpty() && nowNanos - reports.lastKey() < STEP_NANOS) {
      return;
    }
    reports.put(nowNanos, report);
    if (reports.size() > MAX_REPORTS) {
      reports.pollFirstEntry();
    }
  }

  /** Returns the report that was true at a time, or the oldest one known. */
  String at(long nanos) {
    Map.Entry<Long, String> then = reports.floorEntry(nanos);
    if (then != null) {
      return then.getValue();
    }
    return reports.isEmpty() ? "{}" : reports.firstEntry().getValue();
  }
}
