package org.wigeonwharf.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * A complete configuration with its revision on the platform.
 *
 * @param revision the platform's revision, higher for later publications
 * @param files the published files in merge order
 * @param config the validated configuration
 */
public record Snapshot(long revision, List<SettingsFile> files, PublishedConfig config) {
  /** Snapshot of a router that has not received any yet. */
  public static final Snapshot NONE = new Snapshot(0, List.of(), PublishedConfig.EMPTY);

  /**
   * Returns the digest of this snapshot's files.
   *
   * @return lower-case hex SHA-256
   */
  public String digest() {
    return digest(files);
  }

  /**
   * Returns a digest of files, which is equal for equal names and content in the same order.
   *
   * @param files the files in merge order
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
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
