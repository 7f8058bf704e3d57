package org.wigeonwharf.model;

/** Validates the names used as identifiers. */
final class Names {
  private Names() {}

  static void requireName(String value, String kind) {
    if (value.isBlank()) {
      throw new IllegalArgumentException("the " + kind + " name is blank");
    }
  }
}
