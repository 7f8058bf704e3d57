package org.wigeonwharf.model;

/** Names checks the spelling shared by all identifiers. */
final class Names {
  private Names() {}

  static void requireName(String value, String kind) {
    if (value.isBlank()) {
      throw new IllegalArgumentException("the name of a " + kind + " is blank");
    }
  }
}
