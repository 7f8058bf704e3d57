package org.wigeonwharf.standin.restart;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A RestartTally counts what the callers of one run were told; safe for several threads. */
final class RestartResults {
  private final AtomicInteger streams = new AtomicInteger();
  private final AtomicInteger interruptedStreams = new AtomicInteger();
  private final AtomicInteger refusedStreams = new AtomicInteger();
  private final AtomicInteger retried = new AtomicInteger();
  private final AtomicInteger retriedAndConfirmed = new AtomicInteger();
  private final Set<String> confirmed = ConcurrentHashMap.newKeySet();
  private final Set<String> reportedNotRun = ConcurrentHashMap.newKeySet();
  private final Set<String> unknownOutcome = ConcurrentHashMap.newKeySet();

  /** How a booking ended for its caller. */
  enum BookingOutcome {
    CONFIRMED,
    NOT_RUN,
    UNKNOWN
  }

  void recordCompleteStream() {
    streams.incrementAndGet();
  }

  void recordInterruptedStream() {
    streams.incrementAndGet();
    interruptedStreams.incrementAndGet();
  }

  void recordRefusedStream() {
    streams.incrementAndGet();
    refusedStreams.incrementAndGet();
  }

  void recordBooking(String slot, BookingOutcome outcome, boolean wasRetried) {
    switch (outcome) {
      case CONFIRMED -> confirmed.add(slot);
      case NOT_RUN -> reportedNotRun.add(slot);
      default -> unknownOutcome.add(slot);
    }
    if (wasRetried) {
      retried.incrementAndGet();
      if (outcome == BookingOutcome.CONFIRMED) {
        retriedAndConfirmed.incrementAndGet();
      }
    }
  }

  /** Returns one row, judged by the number of actions of each slot in the service's record. */
  String tableRow(String title, Map<String, Integer> actions) {
    long duplicates = actions.values().stream().filter(n -> n > 1).count();
    long falseNotRun = reportedNotRun.stream().filter(actions::containsKey).count();
    long falseConfirmed = confirmed.stream().filter(s -> !actions.containsKey(s)).count();
    return "| %s | %d | %d | %d | %d | %d | %d | %d | %d of %d | %d | %d |"
        .formatted(
            title,
            streams.get(),
            interruptedStreams.get(),
            refusedStreams.get(),
            confirmed.size() + reportedNotRun.size() + unknownOutcome.size(),
            confirmed.size(),
            reportedNotRun.size(),
            unknownOutcome.size(),
            retriedAndConfirmed.get(),
            retried.get(),
            duplicates,
            falseNotRun + falseConfirmed);
  }

  static String tableHeader() {
    String headings =
        "| run | streams | cut | refused | bookings | confirmed | told not run | told may have run "
            + "| retried and confirmed | doubles | false verdicts |";
    return headings
        + "\n"
        + "| --- ".repeat((int) headings.chars().filter(c -> c == '|').count() - 1)
        + "|";
  }
}
