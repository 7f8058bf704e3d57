package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
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

/** Reads the settings files of the operators' folder in merge order. */
public final class SettingsFolder {
  /** Suffix of the files that are read; other files are ignored. */
  public static final String SUFFIX = ".toml";

  /** Merge order: by the unsigned UTF-8 bytes of the file name. */
  public static final Comparator<SettingsFile> MERGE_ORDER =
      (a, b) ->
          Arrays.compareUnsigned(
              a.name().getBytes(StandardCharsets.UTF_8), b.name().getBytes(StandardCharsets.UTF_8));

  private final Path folder;

  /**
   * Creates a reader of a folder; no file is read yet.
   *
   * @param folder the folder
   */
  public SettingsFolder(Path folder) {
    this.folder = folder;
  }

  /**
   * Reads all settings files.
   *
   * @return the files in merge order, or the faults of the folder and of files that can't be read
   */
  public Either<List<Fault>, List<SettingsFile>> read() {
    List<Fault> faults = new ArrayList<>();
    List<SettingsFile> files = new ArrayList<>();
    for (Path path : list(faults)) {
      readFile(path, files, faults);
    }
    if (files.isEmpty() && faults.isEmpty()) {
      faults.add(new Fault(folder.toString(), "-", "contains no " + SUFFIX + " file"));
    }
    files.sort(MERGE_ORDER);
    return faults.isEmpty() ? Either.right(files) : Either.left(faults);
  }

  private List<Path> list(List<Fault> faults) {
    try (Stream<Path> s = Files.list(folder)) {
      List<Path> paths =
          s.filter(p -> p.getFileName().toString().endsWith(SUFFIX))
              .sorted()
              .limit(PublicationLimits.MAX_FILES + 1)
              .toList();
      if (paths.size() <= PublicationLimits.MAX_FILES) {
        return paths;
      }
      addFault(faults, "contains more than " + PublicationLimits.MAX_FILES + " files");
    } catch (IOException | UncheckedIOException e) {
      addFault(faults, "can't be listed: " + e.getMessage());
    }
    return List.of();
  }

  private void addFault(List<Fault> faults, String reason) {
    faults.add(new Fault(folder.toString(), "-", reason));
  }

  private static void readFile(Path path, List<SettingsFile> files, List<Fault> faults) {
    String name = path.getFileName().toString();
    try {
      if (Files.exists(path) && !Files.isRegularFile(path)) {
        faults.add(new Fault(name, "-", "is not a regular file"));
        return;
      }
      if (Files.size(path) > SettingsFile.MAX_BYTES) {
        faults.add(new Fault(name, "-", "is larger than " + SettingsFile.MAX_BYTES + " bytes"));
        return;
      }
      files.add(new SettingsFile(name, decode(Files.readAllBytes(path))));
    } catch (CharacterCodingException e) {
      faults.add(new Fault(name, "-", "is not UTF-8"));
    } catch (IOException e) {
      faults.add(new Fault(name, "-", "can't be read: " + e.getMessage()));
    }
  }

  private static String decode(byte[] bytes) throws CharacterCodingException {
    return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
  }
}
