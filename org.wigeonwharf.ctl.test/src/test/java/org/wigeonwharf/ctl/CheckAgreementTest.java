package org.wigeonwharf.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.wigeonwharf.config.ConfigStore;
import org.wigeonwharf.config.SettingsFile;

/**
 * Checks that {@code wigeonctl check} accepts a folder exactly if a router adopts its files. If the
 * two validate differently, an operator publishes files that the routers refuse.
 */
class CheckAgreementTest {
  private static final PrintStream DISCARDED = new PrintStream(OutputStream.nullOutputStream());

  @Provide
  Arbitrary<String> texts() {
    return Arbitraries.of(
            "[tiers.a]",
            "[tiers.b]",
            "[classes.c]",
            "rank = 0",
            "rank = 1",
            "rank = -1",
            "tier = 'a'",
            "share = 0.5",
            "share = 5",
            "# nothing",
            "oops",
            "")
        .list()
        .ofMaxSize(4)
        .map(lines -> String.join("\n", lines));
  }

  @Property(tries = 300, seed = "73")
  void checkAcceptsExactlyWhatRouterAdopts(@ForAll @Size(max = 3) List<@From("texts") String> texts)
      throws IOException {
    Path folder = Files.createTempDirectory("check");
    List<SettingsFile> files = new ArrayList<>();
    try {
      for (String text : texts) {
        SettingsFile file = new SettingsFile(files.size() + ".toml", text);
        Files.writeString(folder.resolve(file.name()), text);
        files.add(file);
      }
      boolean adopted = new ConfigStore().offer(1, files) == ConfigStore.OfferResult.ADOPTED;
      int exitCode = Main.run(new String[] {"check", folder.toString()}, DISCARDED, DISCARDED);
      assertEquals(adopted ? 0 : 1, exitCode, files.toString());
    } finally {
      for (SettingsFile f : files) {
        Files.delete(folder.resolve(f.name()));
      }
      Files.delete(folder);
    }
  }
}
