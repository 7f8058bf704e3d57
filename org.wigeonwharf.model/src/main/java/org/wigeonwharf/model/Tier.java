package org.wigeonwharf.model;

/**
 * A Tier is a service level; rank 0 is the highest.
 *
 * @param name the operators' name for it
 * @param rank the order among tiers, 0 for the highest
 */
public record Tier(String name, int rank) implements Comparable<Tier> {
  /** Checks the name and rank. */
  public Tier {
    Names.requireName(name, "tier");
    if (rank < 0) {
      throw new IllegalArgumentException("the rank of tier " + name + " is negative");
    }
  }

  /**
   * Tells whether this tier goes before another.
   *
   * @param other the tier to compare with
   * @return true if this tier is strictly higher
   */
  public boolean isHigherThan(Tier other) {
    return rank < other.rank;
  }

  @Override
  public int compareTo(Tier other) {
    return Integer.compare(rank, other.rank);
  }
}
