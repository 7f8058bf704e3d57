package org.wigeonwharf.gateway.feed;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** Counts calls to the store by their outcome. */
final class StoreCallMetrics {
  private final MetricRegistry metrics;

  StoreCallMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
  }

  /**
   * Counts a call.
   *
   * @param answered whether the store answered it
   * @param error why it failed, or null
   */
  void count(boolean answered, @Nullable Throwable error) {
    String outcome = "failed";
    if (answered) {
      outcome = "answered";
    } else if (cause(error) instanceof HistoryLostException) {
      outcome = "history_lost";
    }
    metrics.counter("store.calls{outcome=\"" + outcome + "\"}").inc();
  }

  /** Returns the exception with which a call failed, without that of the future that held it. */
  static @Nullable Throwable cause(@Nullable Throwable error) {
    return error instanceof CompletionException && error.getCause() != null
        ? error.getCause()
        : error;
  }
}
