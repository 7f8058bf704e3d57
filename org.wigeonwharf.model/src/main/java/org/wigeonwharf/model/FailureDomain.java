package org.wigeonwharf.model;

/**
 * Identifies a failure domain: a set of VMs that can lose contact with all other VMs together.
 *
 * @param value the name, never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
  /** Rejects a blank name. */
  public FailureDomain {
    Names.requireName(value, "failure domain");
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
