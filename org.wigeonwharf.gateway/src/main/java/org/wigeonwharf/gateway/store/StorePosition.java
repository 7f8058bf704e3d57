package org.wigeonwharf.gateway.store;

/**
 * Identifies a state of the platform's store.
 *
 * <p>The store counts its changes in revisions. When it is restored from an earlier copy, its
 * revisions go back and are given out again for other changes, and a new era begins. So a revision
 * is meaningful only within its era, and any position of a later era is newer than all earlier
 * ones.
 *
 * @param era the number of the era; 0 if the store states none
 * @param revision the store's revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** A position before all others, of whoever has read nothing. */
  public static final StorePosition NONE = new StorePosition(0, -1);

  @Override
  public int compareTo(StorePosition other) {
    int byEra = Long.compare(era, other.era);
    return byEra != 0 ? byEra : Long.compare(revision, other.revision);
  }

  /**
   * Returns whether this position is newer than another one.
   *
   * @param other the other position
   */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns whether two positions belong to the same era, so that the changes between them are
   * defined.
   *
   * @param other the other position
   */
  public boolean isSameEra(StorePosition other) {
    return era == other.era;
  }

  /**
   * Returns the newer of two positions.
   *
   * @param a a position
   * @param b another position
   */
  public static StorePosition max(StorePosition a, StorePosition b) {
    return b.isAfter(a) ? b : a;
  }
}
