package org.wigeonwharf.gateway.http;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Holds requests until a server or the first configuration is available, ordered by priority,
 * highest first, and then by arrival.
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

  /**
   * Dispatches each held request again in order; those that still find no server are held again.
   */
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
