package org.wigeonwharf.gateway.http;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * HeldRequests are requests that no server may get at the moment, the most urgent first and within
 * a rank the one that has waited longest.
 */
final class HeldRequests {
  private static final Comparator<Exchange> ORDER =
      Comparator.comparingInt(Exchange::priority)
          .thenComparingLong(Exchange::arrivedAt)
          .thenComparingLong(Exchange::number);

  private final TreeSet<Exchange> held = new TreeSet<>(ORDER);

  void add(Exchange e) {
    held.add(e);
  }

  void remove(Exchange e) {
    held.remove(e);
  }

  /** Lets each held request try again in order; those that still find no server come back. */
  void retry() {
    for (Exchange e : List.copyOf(held)) {
      if (held.remove(e)) {
        e.dispatch();
      }
    }
  }

  int size() {
    return held.size();
  }
}
