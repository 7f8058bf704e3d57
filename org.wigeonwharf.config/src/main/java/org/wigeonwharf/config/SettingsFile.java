package org.wigeonwharf.config;

import java.nio.charset.StandardCharsets;

/**
 * One file of the operators' settings folder.
 *
 * @param name the file name without its folder
 * @param text the content
 */
public record SettingsFile(String name, String text) {
  /** Maximum file size in bytes: the platform stores no larger value. */
  public static final int MAX_BYTES = 1024 * 1024;

  /**
   * Returns the content as it is stored.
   *
   * @return UTF-8 bytes
   */
  public byte[] bytes() {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
