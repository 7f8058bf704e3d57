package org.wigeonwharf.platform;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
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
import org.wigeonwharf.gateway.route.RouteTable;

/**
 * Checks that names of the platform's protocols are used in the platform bundle only, and that this
 * bundle only translates. Otherwise a change of the platform's protocols would affect other
 * bundles.
 */
class PlatformBoundaryTest {
  private static final Path PROJECT_ROOT = Path.of("..").toAbsolutePath().normalize();
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

  /** The types of the gateway that the adapter may use: those it implements, creates or throws. */
  private static final DescribedPredicate<JavaClass> INTERFACE_OR_DATA =
      DescribedPredicate.describe(
          "interfaces or data",
          c ->
              c.isInterface()
                  || c.isRecord()
                  || c.isEnum()
                  || c.isAssignableTo(Throwable.class)
                  || c.isEquivalentTo(RouteTable.class));

  private static List<Path> shippedSources() throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> bundles = Files.list(PROJECT_ROOT)) {
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
  void wireNamesAppearOnlyInPlatformBundle() throws IOException {
    List<String> violations = new ArrayList<>();
    List<Path> sources = shippedSources();
    assertTrue(sources.size() > 100, "sources found: " + sources.size());
    for (Path p : sources) {
      String text = Files.readString(p).toLowerCase(Locale.ROOT);
      WIRE_NAMES.stream()
          .filter(text::contains)
          .forEach(n -> violations.add(PROJECT_ROOT.relativize(p) + ": " + n));
    }
    assertEquals(List.of(), violations);
  }

  @Test
  void gatewayDoesNotDependOnPlatform() {
    noClasses()
        .that()
        .resideInAPackage("org.wigeonwharf.gateway..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.wigeonwharf.platform..")
        .check(new ClassFileImporter().importPackages("org.wigeonwharf"));
  }

  @Test
  void platformDependsOnlyOnInterfacesAndDataOfGateway() {
    noClasses()
        .that()
        .resideInAPackage("org.wigeonwharf.platform..")
        .should()
        .dependOnClassesThat(
            resideInAPackage("org.wigeonwharf.gateway..").and(not(INTERFACE_OR_DATA)))
        .check(shippedPlatform());
  }

  @Test
  void platformUsesNeitherTimersNorRandomness() {
    noClasses()
        .that()
        .resideInAPackage("org.wigeonwharf.platform..")
        .should()
        .dependOnClassesThat()
        .haveNameMatching(
            ".*\\.(Timers|Clock|Thread|Timer|ScheduledExecutorService|Random|SecureRandom"
                + "|RandomGenerator|SplittableRandom|ThreadLocalRandom)")
        .check(shippedPlatform());
  }

  private static JavaClasses shippedPlatform() {
    return new ClassFileImporter()
        .withImportOption(new ImportOption.DoNotIncludeTests())
        .importPackages("org.wigeonwharf.platform");
  }
}
