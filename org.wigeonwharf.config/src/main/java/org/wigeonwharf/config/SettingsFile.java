package org.wigeonwharf.config;

import java.nio.charset.StandardCharsets;

/**
 * A SettingsFile is one file of the operators' folder.
 *
 * @param name the file name without its folder
 * @param text the content
 */
public record SettingsFile(String name, String text) {
  /** Largest file accepted, in bytes: the platform holds no larger value. */
  public static final int MAX_BYTES = 1024 * 1024;

  /**
   * Returns the content as stored.
   *
   * @return UTF-8 bytes
   */
  public byte[] bytes() {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
