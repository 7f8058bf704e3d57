package org.wigeonwharf.model;

/**
 * A FailureDomain names a set of VMs that can be cut off from all others together.
 *
 * @param value the name, never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
  /** Checks the name. */
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
