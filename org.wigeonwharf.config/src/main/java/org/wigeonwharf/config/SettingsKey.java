package org.wigeonwharf.config;

import java.util.regex.Pattern;

/**
 * SettingsKey spells the path of a key as TOML does: parts joined by dots, quoted where needed.
 *
 * <p>So a part that holds a dot is not taken for two parts, and a path is always one line.
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
   * Returns the path of the table around a key.
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
   * Tells whether a key lies within a table.
   *
   * @param path the key's path
   * @param table the table's path
   * @return true if it is the table's child or a child's child
   */
  public static boolean isWithin(String path, String table) {
    return path.startsWith(table + SEPARATOR);
  }

  private static String quote(String part) {
    String escaped = part.replace("\\", "\\\\").replace("\"", "\\\"");
    return '"' + escapeControls(escaped) + '"';
  }

  /**
   * Replaces every control character and line separator by its Unicode escape.
   *
   * @param text any text
   * @return the same on one line
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
