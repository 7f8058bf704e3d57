package org.wigeonwharf.config;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/** LoweredPromise recognises changes that take away what callers were promised before. */
final class LoweredPromise {
  private static final Set<String> MORE_IS_BETTER =
      Set.of(
          "requests_per_second",
          "tokens_per_second",
          "concurrent",
          "share",
          "weight",
          "waiting_places",
          "slots");
  private static final Set<String> LESS_IS_BETTER =
      Set.of("rank", "first_token_target", "token_gap_target");

  private LoweredPromise() {}

  static boolean isLowered(String key, @Nullable String before, @Nullable String after) {
    String leaf = key.substring(key.lastIndexOf(MergedSettings.SEPARATOR) + 1);
    boolean limit = key.contains(".limits.");
    if (MORE_IS_BETTER.contains(leaf)) {
      return lowered(before, after, limit);
    }
    if (LESS_IS_BETTER.contains(leaf)) {
      return lowered(after, before, false);
    }
    return leaf.equals("tier") && before != null && after != null;
  }

  private static boolean lowered(@Nullable String more, @Nullable String less, boolean limit) {
    if (more == null) {
      return limit && less != null;
    }
    if (less == null) {
      return !limit;
    }
    return magnitude(less) < magnitude(more);
  }

  private static double magnitude(String value) {
    String s = value.replace("\"", "");
    String digits = s.replaceAll("[a-z]+$", "");
    double unit =
        switch (s.substring(digits.length())) {
          case "s" -> 1_000;
          case "m" -> 60_000;
          case "h" -> 3_600_000;
          default -> 1;
        };
    try {
      return Double.parseDouble(digits) * unit;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
