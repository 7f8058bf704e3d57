package org.wigeonwharf.model;

/**
 * A ServerId names one backend server.
 *
 * @param value the name, never blank
 */
public record ServerId(String value) implements Comparable<ServerId> {
  /** Checks the name. */
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
