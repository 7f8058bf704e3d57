package org.wigeonwharf.gateway.route;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Names the regions in which a request may be served, cached and stored. */
public final class AllowedRegions {
  /** Permits servers in any region, known or not. */
  public static final AllowedRegions ALL = new AllowedRegions(null);

  private final @Nullable Set<String> names;

  private AllowedRegions(@Nullable Set<String> names) {
    this.names = names;
  }

  /**
   * Creates a restriction from a configured list.
   *
   * @param names the names of the regions; empty if there is no restriction
   */
  public static AllowedRegions of(Collection<String> names) {
    return names.isEmpty() ? ALL : new AllowedRegions(Set.copyOf(names));
  }

  /**
   * Combines two restrictions.
   *
   * @param other the other restriction
   * @return the restriction that permits what both permit
   */
  public AllowedRegions and(AllowedRegions other) {
    if (names == null) {
      return other;
    }
    if (other.names == null) {
      return this;
    }
    Set<String> common = new HashSet<>(names);
    common.retainAll(other.names);
    return new AllowedRegions(Set.copyOf(common));
  }

  /** Returns whether there is any restriction. */
  public boolean isRestricted() {
    return names != null;
  }

  /** Returns whether no region is permitted, because two restrictions exclude each other. */
  public boolean isEmpty() {
    return names != null && names.isEmpty();
  }

  /**
   * Returns whether servers of a region are permitted.
   *
   * @param region the region's name, or null if it is unknown
   */
  public boolean permits(@Nullable String region) {
    return names == null || (region != null && names.contains(region));
  }

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof AllowedRegions a
        && (names == null ? a.names == null : names.equals(a.names));
  }

  @Override
  public int hashCode() {
    return names == null ? 0 : names.hashCode();
  }

  @Override
  public String toString() {
    return names == null ? "all" : names.stream().sorted().toList().toString();
  }
}
