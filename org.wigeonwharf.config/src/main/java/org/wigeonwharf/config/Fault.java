package org.wigeonwharf.config;

/**
 * A Fault is one reason why settings are not accepted.
 *
 * @param file the file that set the value, or the folder
 * @param place the key as written in the file, or the line of a syntax error
 * @param reason what is wrong, with a hint where there is one
 */
public record Fault(String file, String place, String reason) {
  /** Keeps each fault on one line, whatever text of the operators it quotes. */
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
