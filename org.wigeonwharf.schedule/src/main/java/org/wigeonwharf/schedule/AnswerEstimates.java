package org.wigeonwharf.schedule;

import java.util.HashMap;
import java.util.Map;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;

/**
 * Estimates the output length, first-token time and slot time of answers from those observed.
 *
 * <p>The output length is a high quantile per class and client account; the slot time and the
 * first-token time are moving means per class. Not thread-safe.
 */
final class AnswerEstimates {
  /** Fraction of the answers that are no longer than the length estimate. */
  static final double LENGTH_QUANTILE = 0.9;

  /** Least slot time assumed for a class before any answer is observed, in milliseconds. */
  static final long MIN_INITIAL_SLOT_MILLIS = 100;

  /** Longest inter-token latency assumed before any answer is observed, in milliseconds. */
  static final long MAX_INITIAL_TOKEN_GAP_MILLIS = 50;

  /** Step of the quantile estimate per answer, as a fraction of the estimate. */
  private static final double LENGTH_STEP = 0.1;

  private static final double MEAN_SMOOTHING = 0.05;

  private final Map<Key, Double> lengths = new HashMap<>();
  private final Map<ClassId, Double> slotMillis = new HashMap<>();
  private final Map<ClassId, Double> firstTokenMillis = new HashMap<>();

  private record Key(ClassId serviceClass, AccountId account) {}

  /**
   * Returns the output length that most answers do not exceed.
   *
   * @param spec the class
   * @param account the client account
   * @return length in tokens
   */
  long outputTokens(ClassSpec spec, AccountId account) {
    Double length = lengths.get(new Key(spec.id(), account));
    return length == null ? spec.estimatedTokens() : Math.round(length);
  }

  /**
   * Returns the mean time that a request of a class holds a slot.
   *
   * @param spec the class
   * @return milliseconds, at least 1
   */
  long slotMillis(ClassSpec spec) {
    Double mean = slotMillis.get(spec.id());
    if (mean != null) {
      return Math.max(1, Math.round(mean));
    }
    long gap = Math.min(MAX_INITIAL_TOKEN_GAP_MILLIS, spec.tokenGapTarget().toMillis());
    return Math.max(MIN_INITIAL_SLOT_MILLIS, spec.estimatedTokens() * gap);
  }

  /**
   * Returns the mean time to the first token of a class.
   *
   * @param spec the class
   * @return milliseconds, 0 if none was observed
   */
  double firstTokenMillis(ClassSpec spec) {
    return firstTokenMillis.getOrDefault(spec.id(), 0.0);
  }

  /**
   * Records the start of an answer.
   *
   * @param spec its class
   * @param millis time to the first token in milliseconds
   */
  void recordFirstToken(ClassSpec spec, double millis) {
    firstTokenMillis.merge(
        spec.id(), millis, (mean, next) -> mean + MEAN_SMOOTHING * (next - mean));
  }

  /**
   * Records a finished answer.
   *
   * @param spec its class
   * @param account its client account
   * @param tokens its length in tokens, 0 for an answer of a plain service
   * @param totalMillis how long it held its slot, in milliseconds
   */
  void recordFinished(ClassSpec spec, AccountId account, int tokens, long totalMillis) {
    double mean = slotMillis(spec);
    slotMillis.put(spec.id(), mean + MEAN_SMOOTHING * (totalMillis - mean));
    if (tokens > 0) {
      double old = Math.max(1, outputTokens(spec, account));
      double factor =
          tokens > old
              ? 1 + LENGTH_STEP * LENGTH_QUANTILE
              : 1 - LENGTH_STEP * (1 - LENGTH_QUANTILE);
      lengths.put(new Key(spec.id(), account), Math.max(1, old * factor));
    }
  }
}
