package org.wigeonwharf.config;

import java.util.regex.Pattern;

/**
 * Builds and inspects key paths in TOML syntax: parts joined by dots and quoted where needed.
 *
 * <p>Quoting keeps a part that contains a dot distinct from two parts. Control characters are
 * escaped, so that a path is always one line.
 */
public final class SettingsKey {
  private static final Pattern BARE = Pattern.compile("[A-Za-z0-9_-]+");
  private static final char SEPARATOR = '.';

  private SettingsKey() {}

  /**
   * Appends a part to a path.
   *
   * @param path the table's path, "" for the root
   * @param part the key within the table
   * @return the key's path
   */
  public static String child(String path, String part) {
    String encoded = BARE.matcher(part).matches() ? part : quote(part);
    return path.isEmpty() ? encoded : path + SEPARATOR + encoded;
  }

  /**
   * Returns the path of the table that contains a key.
   *
   * @param path the key's path
   * @return the table's path, "" for the root
   */
  public static String parent(String path) {
    int end = 0;
    boolean quoted = false;
    for (int i = 0; i < path.length(); i++) {
      char c = path.charAt(i);
      if (quoted && c == '\\') {
        i++;
      } else if (c == '"') {
        quoted = !quoted;
      } else if (c == SEPARATOR && !quoted) {
        end = i;
      }
    }
    return path.substring(0, end);
  }

  /**
   * Returns whether a key lies within a table.
   *
   * @param path the key's path
   * @param table the table's path
   * @return true if it is a direct or indirect child of the table
   */
  public static boolean isWithin(String path, String table) {
    return path.startsWith(table + SEPARATOR);
  }

  private static String quote(String part) {
    String escaped = part.replace("\\", "\\\\").replace("\"", "\\\"");
    return '"' + escapeControls(escaped) + '"';
  }

  /**
   * Replaces each control character and line or paragraph separator by its Unicode escape.
   *
   * @param text any text
   * @return the text on one line
   */
  static String escapeControls(String text) {
    StringBuilder s = new StringBuilder(text.length());
    for (char c : text.toCharArray()) {
      boolean separator = c == 0x2028 || c == 0x2029;
      s.append(Character.isISOControl(c) || separator ? "\\u%04x".formatted((int) c) : c);
    }
    return s.toString();
  }
}
