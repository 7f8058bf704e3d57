package org.wigeonwharf.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.ClassId;

/**
 * A GrantReserve keeps each class its share of a shard's granted slot time while the class waits.
 *
 * <p>Each grant credits every waiting class with its share of the grant's expected slot time; a
 * class whose credit covers one of its own requests goes first, the largest credit before others.
 * While a class waits, it is granted at least {@code share * t - (k + 1) * m} of t milliseconds of
 * granted slot time, with k the number of classes and m the longest expected slot time. Not
 * thread-safe.
 */
final class GrantReserve {
  private final Map<ClassId, Double> credits = new HashMap<>();

  /**
   * Tells how far a class is behind its share.
   *
   * @param serviceClass the class
   * @return slot time owed, in milliseconds
   */
  double creditMillis(ClassId serviceClass) {
    return credits.getOrDefault(serviceClass, 0.0);
  }

  /**
   * Notes a grant.
   *
   * @param grantee the class that got it
   * @param costMillis its expected slot time in milliseconds
   * @param waiting the classes that wait, with the one that got it
   */
  void recordGrant(ClassId grantee, long costMillis, Collection<ClassSpec> waiting) {
    for (ClassSpec c : waiting) {
      credits.merge(c.id(), c.share() * costMillis, Double::sum);
    }
    credits.computeIfPresent(grantee, (id, credit) -> Math.max(0, credit - costMillis));
  }

  /**
   * Drops the credit of a class that waits no more.
   *
   * @param serviceClass the class
   */
  void dropCredit(ClassId serviceClass) {
    credits.remove(serviceClass);
  }
}
