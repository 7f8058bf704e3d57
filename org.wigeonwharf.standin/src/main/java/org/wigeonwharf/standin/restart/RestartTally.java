package org.wigeonwharf.standin.restart;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A RestartTally counts what the callers of one run were told; safe for several threads. */
final class RestartTally {
  private final AtomicInteger streams = new AtomicInteger();
  private final AtomicInteger cutStreams = new AtomicInteger();
  private final AtomicInteger refusedStreams = new AtomicInteger();
  private final AtomicInteger retried = new AtomicInteger();
  private final AtomicInteger retriedAndConfirmed = new AtomicInteger();
  private final Set<String> confirmed = ConcurrentHashMap.newKeySet();
  private final Set<String> toldNotRun = ConcurrentHashMap.newKeySet();
  private final Set<String> unknown = ConcurrentHashMap.newKeySet();

  /** How a booking ended for its caller. */
  enum BookingEnd {
    CONFIRMED,
    NOT_RUN,
    UNKNOWN
  }

  void streamWhole() {
    streams.incrementAndGet();
  }

  void streamCut() {
    streams.incrementAndGet();
    cutStreams.incrementAndGet();
  }

  void streamRefused() {
    streams.incrementAndGet();
    refusedStreams.incrementAndGet();
  }

  void booking(String slot, BookingEnd end, boolean wasRetried) {
    switch (end) {
      case CONFIRMED -> confirmed.add(slot);
      case NOT_RUN -> toldNotRun.add(slot);
      default -> unknown.add(slot);
    }
    if (wasRetried) {
      retried.incrementAndGet();
      if (end == BookingEnd.CONFIRMED) {
        retriedAndConfirmed.incrementAndGet();
      }
    }
  }

  /** Returns one row, judged by the number of actions of each slot in the service's record. */
  String row(String title, Map<String, Integer> actions) {
    long doubles = actions.values().stream().filter(n -> n > 1).count();
    long falseNotRun = toldNotRun.stream().filter(actions::containsKey).count();
    long falseConfirmed = confirmed.stream().filter(s -> !actions.containsKey(s)).count();
    return "| %s | %d | %d | %d | %d | %d | %d | %d | %d of %d | %d | %d |"
        .formatted(
            title,
            streams.get(),
            cutStreams.get(),
            refusedStreams.get(),
            confirmed.size() + toldNotRun.size() + unknown.size(),
            confirmed.size(),
            toldNotRun.size(),
            unknown.size(),
            retriedAndConfirmed.get(),
            retried.get(),
            doubles,
            falseNotRun + falseConfirmed);
  }

  static String head() {
    String names =
        "| run | streams | cut | refused | bookings | confirmed | told not run | told may have run "
            + "| retried and confirmed | doubles | false verdicts |";
    return names
        + "\n"
        + "| --- ".repeat((int) names.chars().filter(c -> c == '|').count() - 1)
        + "|";
  }
}
