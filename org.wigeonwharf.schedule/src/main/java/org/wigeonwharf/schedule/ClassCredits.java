package org.wigeonwharf.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.ClassId;

/**
 * Tracks how far each waiting class is behind its share of a shard's granted slot time.
 *
 * <p>Each grant credits every waiting class with its share of the grant's expected slot time.
 * {@link GrantChooser} lets a class whose credit covers its oldest request go first; among several,
 * the class with the largest credit. While a class waits, it is granted at least {@code share * t -
 * (k + 1) * m} of t milliseconds of granted slot time, with k the number of classes and m the
 * longest expected slot time in milliseconds. Not thread-safe.
 */
final class ClassCredits {
  private final Map<ClassId, Double> credits = new HashMap<>();

  /**
   * Returns the credit of a class.
   *
   * @param serviceClass the class
   * @return slot time by which the class is behind its share, in milliseconds
   */
  double creditMillis(ClassId serviceClass) {
    return credits.getOrDefault(serviceClass, 0.0);
  }

  /**
   * Credits the waiting classes and debits the class that got the grant.
   *
   * @param grantee the class of the granted request
   * @param costMillis expected slot time of the request in milliseconds
   * @param waiting the waiting classes, including the grantee
   */
  void recordGrant(ClassId grantee, long costMillis, Collection<ClassSpec> waiting) {
    for (ClassSpec c : waiting) {
      credits.merge(c.id(), c.share() * costMillis, Double::sum);
    }
    credits.computeIfPresent(grantee, (id, credit) -> Math.max(0, credit - costMillis));
  }

  /**
   * Drops the credit of a class that has no waiting requests left.
   *
   * @param serviceClass the class
   */
  void dropCredit(ClassId serviceClass) {
    credits.remove(serviceClass);
  }
}
