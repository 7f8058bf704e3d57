package org.wigeonwharf.model;

/**
 * Identifies a service that callers reach through the router.
 *
 * @param value the name, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Rejects a blank name. */
  public ServiceId {
    Names.requireName(value, "service");
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
