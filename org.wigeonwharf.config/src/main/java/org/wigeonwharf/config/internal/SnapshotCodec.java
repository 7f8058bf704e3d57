package org.wigeonwharf.config.internal;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.config.wire.FileDigest;
import org.wigeonwharf.config.wire.SettingsFileMessage;
import org.wigeonwharf.config.wire.SnapshotMessage;
import org.wigeonwharf.config.wire.SnapshotRequest;

/**
 * SnapshotCodec turns snapshots into messages that carry only the files the receiver lacks.
 *
 * <p>A message lists every file by digest and carries the digest of the whole snapshot, so that the
 * receiver never puts together anything but exactly what the sender holds.
 */
public final class SnapshotCodec {
  private SnapshotCodec() {}

  /**
   * Writes a request for what a peer holds.
   *
   * @param held the snapshot in force here
   * @return the request
   */
  public static SnapshotRequest newRequest(Snapshot held) {
    return SnapshotRequest.newBuilder()
        .setHeldRevision(held.revision())
        .addAllHeldFiles(digests(held.files()))
        .build();
  }

  /**
   * Lists files by digest.
   *
   * @param files in merge order
   * @return one digest for each, in the same order
   */
  public static List<FileDigest> digests(List<SettingsFile> files) {
    return files.stream().map(SnapshotCodec::digest).toList();
  }

  private static FileDigest digest(SettingsFile file) {
    byte[] sha256 = HexFormat.of().parseHex(Snapshot.digest(List.of(file)));
    return FileDigest.newBuilder()
        .setName(file.name())
        .setSha256(ByteString.copyFrom(sha256))
        .build();
  }

  /**
   * Writes a snapshot.
   *
   * @param snapshot what is sent
   * @param held the files that the receiver is believed to hold
   * @return a message without the contents of those files
   */
  public static SnapshotMessage encode(Snapshot snapshot, Collection<FileDigest> held) {
    Set<FileDigest> known = new HashSet<>(held);
    SnapshotMessage.Builder message =
        SnapshotMessage.newBuilder().setRevision(snapshot.revision()).setDigest(snapshot.digest());
    for (SettingsFile f : snapshot.files()) {
      FileDigest d = digest(f);
      message.addManifest(d);
      if (!known.contains(d)) {
        message.addFiles(
            SettingsFileMessage.newBuilder()
                .setName(f.name())
                .setContent(ByteString.copyFrom(f.bytes())));
      }
    }
    return message.build();
  }

  /**
   * Puts a snapshot's files together.
   *
   * @param message the message received
   * @param held the files in force here
   * @return every file in merge order, or empty if one is missing or the whole is not what the
   *     sender holds
   */
  public static Optional<List<SettingsFile>> assemble(
      SnapshotMessage message, List<SettingsFile> held) {
    Map<FileDigest, SettingsFile> known = new HashMap<>();
    held.forEach(f -> known.put(digest(f), f));
    for (SettingsFileMessage m : message.getFilesList()) {
      SettingsFile f = decodeFile(m);
      if (f != null) {
        known.put(digest(f), f);
      }
    }
    List<SettingsFile> files = new ArrayList<>();
    for (FileDigest d : message.getManifestList()) {
      SettingsFile f = known.get(d);
      if (f == null) {
        return Optional.empty();
      }
      files.add(f);
    }
    return Snapshot.digest(files).equals(message.getDigest())
        ? Optional.of(files)
        : Optional.empty();
  }

  private static @Nullable SettingsFile decodeFile(SettingsFileMessage m) {
    try {
      ByteBuffer content = m.getContent().asReadOnlyByteBuffer();
      String text = StandardCharsets.UTF_8.newDecoder().decode(content).toString();
      return new SettingsFile(m.getName(), text);
    } catch (CharacterCodingException e) {
      return null;
    }
  }
}
