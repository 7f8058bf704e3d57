package org.wigeonwharf.model;

/**
 * A service level, ordered by rank.
 *
 * @param name the name given by the operators
 * @param rank the position among the tiers, 0 for the highest
 */
public record Tier(String name, int rank) implements Comparable<Tier> {
  /** Rejects a blank name or negative rank. */
  public Tier {
    Names.requireName(name, "tier");
    if (rank < 0) {
      throw new IllegalArgumentException("the rank of tier " + name + " is negative");
    }
  }

  /**
   * Returns whether this tier has priority over another.
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
