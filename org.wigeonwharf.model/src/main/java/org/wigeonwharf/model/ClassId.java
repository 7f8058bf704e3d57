package org.wigeonwharf.model;

/**
 * A ClassId names a service class: a kind of request with its own target and tier.
 *
 * @param value the name, never blank
 */
public record ClassId(String value) implements Comparable<ClassId> {
  /** Checks the name. */
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
