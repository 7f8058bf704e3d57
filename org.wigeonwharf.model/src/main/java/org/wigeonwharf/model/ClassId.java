package org.wigeonwharf.model;

/**
 * Identifies a service class: a kind of request with its own latency objectives and tier.
 *
 * @param value the name, never blank
 */
public record ClassId(String value) implements Comparable<ClassId> {
  /** Rejects a blank name. */
  public ClassId {
    Names.requireName(value, "class");
  }

  @Override
  public int compareTo(ClassId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
