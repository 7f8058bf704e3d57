package org.wigeonwharf.standin.restart;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the outcomes that callers were given during one run; safe for use by several threads. */
final class RestartResults {
  private final AtomicInteger streams = new AtomicInteger();
  private final AtomicInteger interruptedStreams = new AtomicInteger();
  private final AtomicInteger refusedStreams = new AtomicInteger();
  private final AtomicInteger retried = new AtomicInteger();
  private final AtomicInteger retriedAndConfirmed = new AtomicInteger();
  private final Set<String> confirmed = ConcurrentHashMap.newKeySet();
  private final Set<String> reportedNotRun = ConcurrentHashMap.newKeySet();
  private final Set<String> unknownOutcome = ConcurrentHashMap.newKeySet();

  /** Outcome of a booking as far as its caller can tell. */
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

  /**
   * Records the last outcome of a booking.
   *
   * @param slot the slot, unique to the booking
   * @param outcome the outcome of its last attempt
   * @param wasRetried whether it was sent again after an attempt that may have run
   */
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

  /**
   * Returns one table row; duplicates and false verdicts are found by comparison with the booking
   * service's record.
   *
   * @param title first column
   * @param actions number of times that the booking service booked each slot
   */
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

  /** Returns the table's heading and separator lines. */
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
