package org.wigeonwharf.config;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Finds the known key closest to a misspelt one by edit distance. */
final class SpellingHint {
  private static final int MAX_DISTANCE = 3;

  private SpellingHint() {}

  static @Nullable String nearestKey(String key, Collection<String> known) {
    String best = null;
    int bestDistance = MAX_DISTANCE + 1;
    for (String k : known) {
      int d = distance(key, k);
      if (d < bestDistance) {
        best = k;
        bestDistance = d;
      }
    }
    return best;
  }

  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int substitution = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
      }
    }
    return row[b.length()];
  }
}
