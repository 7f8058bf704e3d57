package org.wigeonwharf.model;

/**
 * Identifies a backend server within its service.
 *
 * @param value the name, never blank
 */
public record ServerId(String value) implements Comparable<ServerId> {
  /** Rejects a blank name. */
  public ServerId {
    Names.requireName(value, "backend server");
  }

  @Override
  public int compareTo(ServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
