package org.wigeonwharf.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks which folders and files are refused, and the order in which files are merged. */
class SettingsFolderTest {
  @TempDir Path folder;

  private String fault() {
    List<Fault> faults = new SettingsFolder(folder).read().getLeft();
    assertEquals(1, faults.size(), faults.toString());
    return faults.get(0).toString();
  }

  @Test
  void folderWithoutSettingsFilesIsRefused() throws IOException {
    Files.writeString(folder.resolve("README"), "not settings");
    assertTrue(fault().endsWith(":-: contains no .toml file"));
  }

  @Test
  void missingFolderIsRefused() throws IOException {
    Files.delete(folder);
    assertTrue(fault().contains(":-: can't be listed: "));
    Files.createDirectory(folder);
  }

  @Test
  void directoryNamedLikeSettingsFileIsRefused() throws IOException {
    Files.createDirectory(folder.resolve("10.toml"));
    assertEquals("10.toml:-: is not a regular file", fault());
  }

  @Test
  void symbolicLinkThatLoopsIsRefused() throws IOException {
    Files.createSymbolicLink(folder.resolve("10.toml"), Path.of("10.toml"));
    assertTrue(fault().startsWith("10.toml:-: can't be read: "));
  }

  @Test
  void fileThatIsNotUtf8IsRefused() throws IOException {
    Files.write(folder.resolve("10.toml"), "a = \"ä\"".getBytes(StandardCharsets.ISO_8859_1));
    assertEquals("10.toml:-: is not UTF-8", fault());
  }

  @Test
  void fileThatIsTooLargeIsRefused() throws IOException {
    Files.writeString(folder.resolve("10.toml"), "#".repeat(SettingsFile.MAX_BYTES + 1));
    assertEquals("10.toml:-: is larger than 1048576 bytes", fault());
  }

  @Test
  void tooManyFilesAreRefused() throws IOException {
    for (int i = 0; i <= PublicationLimits.MAX_FILES; i++) {
      Files.writeString(folder.resolve(i + ".toml"), "x = 1");
    }
    assertTrue(fault().endsWith(":-: contains more than 1000 files"));
  }

  @Test
  void filesMergeInByteOrderOfTheirNames() throws IOException {
    for (String name : List.of("é.toml", "z.toml", "10.toml", "9.toml", "Z.toml")) {
      Files.writeString(folder.resolve(name), "x = 1");
    }
    assertEquals(
        List.of("10.toml", "9.toml", "Z.toml", "z.toml", "é.toml"),
        new SettingsFolder(folder).read().get().stream().map(SettingsFile::name).toList());
  }
}
