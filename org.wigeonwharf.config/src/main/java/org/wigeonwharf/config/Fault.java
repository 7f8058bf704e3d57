package org.wigeonwharf.config;

/**
 * One reason why settings are rejected.
 *
 * @param file the file that set the value, or the folder
 * @param place the key's path, the line of a syntax error, or {@code -} for the file as a whole
 * @param reason what is wrong, with a hint if one is known
 */
public record Fault(String file, String place, String reason) {
  /** Escapes control characters, so that a fault stays on one line whatever input it quotes. */
  public Fault {
    file = SettingsKey.escapeControls(file);
    place = SettingsKey.escapeControls(place);
    reason = SettingsKey.escapeControls(reason);
  }

  @Override
  public String toString() {
    return file + ":" + place + ": " + reason;
  }
}
