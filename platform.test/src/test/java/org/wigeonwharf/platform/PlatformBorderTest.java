package org.wigeonwharf.platform;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PlatformBorderTest {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final List<String> WIRE_NAMES =
      List.of(
          "x-wigeonwharf",
          "kv-range",
          "kv-watch",
          "op/config",
          "\"servers/",
          "kv-from",
          "kv-fetch",
          "slo-ms",
          "gap-aim-ms",
          "max-attempts",
          "api-keys",
          "kv-capacity",
          "request-deadline",
          "current-rev");

  private static List<Path> shippedSources() throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> bundles = Files.list(ROOT)) {
      for (Path bundle : bundles.toList()) {
        Path sources = bundle.resolve("src").resolve("main");
        if (!bundle.endsWith("platform") && Files.isDirectory(sources)) {
          try (Stream<Path> files = Files.walk(sources)) {
            files.filter(Files::isRegularFile).forEach(found::add);
          }
        }
      }
    }
    return found;
  }

  @Test
  void wireNamesStandInThePlatformFolderOnly() throws IOException {
    List<String> faults = new ArrayList<>();
    List<Path> sources = shippedSources();
    assertTrue(sources.size() > 100, "sources found: " + sources.size());
    for (Path p : sources) {
      String text = Files.readString(p).toLowerCase(Locale.ROOT);
      WIRE_NAMES.stream()
          .filter(text::contains)
          .forEach(n -> faults.add(ROOT.relativize(p) + ": " + n));
    }
    assertEquals(List.of(), faults);
  }

  @Test
  void gatewayKnowsNothingOfThePlatform() {
    noClasses()
        .that()
        .resideInAPackage("org.wigeonwharf.gateway..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.wigeonwharf.platform..")
        .check(new ClassFileImporter().importPackages("org.wigeonwharf"));
  }

  @Test
  void platformDecidesNothing() {
    noClasses()
        .that()
        .resideInAPackage("org.wigeonwharf.platform..")
        .should()
        .dependOnClassesThat()
        .haveNameMatching(".*\\.(PlacementPolicy|ServerChooser|RetryBudget|Exchange|StoreFeed)")
        .check(
            new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("org.wigeonwharf.platform"));
  }
}
