package org.wigeonwharf.gateway.http;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds requests until a server or the first configuration is available, ordered by priority,
 * highest first, and then by arrival.
 */
final class HeldRequests {
  private static final Logger LOG = LoggerFactory.getLogger(HeldRequests.class);
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
        dispatch(e);
      }
    }
  }

  /** Dispatches one request; its failure must not keep the others waiting. */
  private static void dispatch(Exchange e) {
    try {
      e.dispatch();
    } catch (RuntimeException x) {
      LOG.atError()
          .addKeyValue("event", "dispatch.failed")
          .addKeyValue("request", String.valueOf(e.requestId()))
          .addKeyValue("reason", String.valueOf(x))
          .setCause(x)
          .log("a held request could not be dispatched; it ends at its deadline");
    }
  }

  int size() {
    return held.size();
  }
}
