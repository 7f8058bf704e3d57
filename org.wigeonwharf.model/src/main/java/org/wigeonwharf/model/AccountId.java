package org.wigeonwharf.model;

/**
 * Identifies a client account.
 *
 * @param value the name, never blank
 */
public record AccountId(String value) implements Comparable<AccountId> {
  /** Rejects a blank name. */
  public AccountId {
    Names.requireName(value, "client account");
  }

  @Override
  public int compareTo(AccountId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
