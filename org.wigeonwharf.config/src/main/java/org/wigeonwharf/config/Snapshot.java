package org.wigeonwharf.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * A Snapshot is a complete configuration under the platform's revision.
 *
 * @param revision the platform's number, higher for later publishes
 * @param files the published files in merge order
 * @param config the checked result
 */
public record Snapshot(long revision, List<SettingsFile> files, PublishedConfig config) {
  /** What a router holds before it has received any snapshot. */
  public static final Snapshot NONE = new Snapshot(0, List.of(), PublishedConfig.EMPTY);

  /**
   * Returns a digest of the files, equal for equal content.
   *
   * @return lower-case hex SHA-256
   */
  public String digest() {
    return digest(files);
  }

  /**
   * Returns a digest of files, equal for equal names and content.
   *
   * @param files in merge order
   * @return lower-case hex SHA-256
   */
  public static String digest(List<SettingsFile> files) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      for (SettingsFile f : files) {
        byte[] name = f.name().getBytes(StandardCharsets.UTF_8);
        byte[] content = f.bytes();
        sha.update((name.length + ":" + content.length + ":").getBytes(StandardCharsets.UTF_8));
        sha.update(name);
        sha.update(content);
      }
      return HexFormat.of().formatHex(sha.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the JDK lacks SHA-256", e);
    }
  }
}
