package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A SettingsFolder reads the operators' files in the order they are merged. */
public final class SettingsFolder {
  /** Ending of the file names that are read; others are ignored. */
  public static final String SUFFIX = ".toml";

  /** Merge order: bytes of the file name, unsigned. */
  public static final Comparator<SettingsFile> ORDER =
      (a, b) ->
          Arrays.compareUnsigned(
              a.name().getBytes(StandardCharsets.UTF_8), b.name().getBytes(StandardCharsets.UTF_8));

  private final Path folder;

  /**
   * Names a folder; nothing is read yet.
   *
   * @param folder the folder
   */
  public SettingsFolder(Path folder) {
    this.folder = folder;
  }

  /**
   * Reads every settings file.
   *
   * @return the files in merge order, or one fault for each that can't be read
   */
  public Either<List<Fault>, List<SettingsFile>> read() {
    List<Fault> faults = new ArrayList<>();
    List<SettingsFile> files = new ArrayList<>();
    for (Path path : list(faults)) {
      readFile(path, files, faults);
    }
    if (files.isEmpty() && faults.isEmpty()) {
      faults.add(new Fault(folder.toString(), "-", "holds no " + SUFFIX + " file"));
    }
    files.sort(ORDER);
    return faults.isEmpty() ? Either.right(files) : Either.left(faults);
  }

  private List<Path> list(List<Fault> faults) {
    try (Stream<Path> s = Files.list(folder)) {
      return s.filter(p -> p.getFileName().toString().endsWith(SUFFIX)).sorted().toList();
    } catch (IOException e) {
      faults.add(new Fault(folder.toString(), "-", "can't be listed: " + e.getMessage()));
      return List.of();
    }
  }

  private static void readFile(Path path, List<SettingsFile> files, List<Fault> faults) {
    String name = path.getFileName().toString();
    try {
      byte[] bytes = Files.readAllBytes(path);
      if (bytes.length > SettingsFile.MAX_BYTES) {
        faults.add(new Fault(name, "-", "is larger than " + SettingsFile.MAX_BYTES + " bytes"));
        return;
      }
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      files.add(new SettingsFile(name, text));
    } catch (CharacterCodingException e) {
      faults.add(new Fault(name, "-", "is not UTF-8"));
    } catch (IOException e) {
      faults.add(new Fault(name, "-", "can't be read: " + e.getMessage()));
    }
  }
}
