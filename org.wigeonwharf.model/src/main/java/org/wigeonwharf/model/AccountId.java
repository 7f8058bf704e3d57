package org.wigeonwharf.model;

/**
 * An AccountId names a client account.
 *
 * @param value the name, never blank
 */
public record AccountId(String value) implements Comparable<AccountId> {
  /** Checks the name. */
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
