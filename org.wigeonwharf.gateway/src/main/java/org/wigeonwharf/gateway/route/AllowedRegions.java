package org.wigeonwharf.gateway.route;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Names the regions in which a request may be served, cached and stored.
 *
 * @param restricted whether there is any restriction
 * @param names the permitted regions; empty if there is no restriction, or if two restrictions
 *     exclude each other
 */
public record AllowedRegions(boolean restricted, Set<String> names) {
  /** Permits servers in any region, known or not. */
  public static final AllowedRegions ALL = new AllowedRegions(false, Set.of());

  /** Copies {@code names}. */
  public AllowedRegions {
    names = Set.copyOf(names);
  }

  /**
   * Creates a restriction from a configured list.
   *
   * @param names the names of the regions; empty if there is no restriction
   */
  public static AllowedRegions of(Collection<String> names) {
    return names.isEmpty() ? ALL : new AllowedRegions(true, Set.copyOf(names));
  }

  /**
   * Combines two restrictions.
   *
   * @param other the other restriction
   * @return the restriction that permits what both permit
   */
  public AllowedRegions and(AllowedRegions other) {
    if (!restricted) {
      return other;
    }
    if (!other.restricted) {
      return this;
    }
    Set<String> common = new HashSet<>(names);
    common.retainAll(other.names);
    return new AllowedRegions(true, common);
  }

  /** Returns whether no region is permitted, because two restrictions exclude each other. */
  public boolean isEmpty() {
    return restricted && names.isEmpty();
  }

  /**
   * Returns whether servers of a region are permitted.
   *
   * @param region the region's name, or null if it is unknown
   */
  public boolean permits(@Nullable String region) {
    return !restricted || (region != null && names.contains(region));
  }

  @Override
  public String toString() {
    return restricted ? names.stream().sorted().toList().toString() : "all";
  }
}
