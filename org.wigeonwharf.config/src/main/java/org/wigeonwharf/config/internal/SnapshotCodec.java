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
 * Encodes snapshots as messages that contain only the files the receiver lacks, and decodes them.
 *
 * <p>A message lists the digest of every file and the digest of the whole snapshot, so that the
 * receiver assembles exactly the sender's snapshot or none.
 */
public final class SnapshotCodec {
  private SnapshotCodec() {}

  /**
   * Creates a request for a peer's snapshot that lists the digests of the files held here.
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
   * Computes the digest of each file.
   *
   * @param files the files, in merge order
   * @return one digest per file, in the same order
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
   * Encodes a snapshot.
   *
   * @param snapshot the snapshot to send
   * @param held digests of the files that the receiver is expected to hold
   * @return a message without the content of those files
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
   * Assembles the files of a received snapshot.
   *
   * @param message the received message
   * @param held the files in force here
   * @return all files in merge order, or empty if one is missing or the digest of the whole does
   *     not match
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
