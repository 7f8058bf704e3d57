package org.wigeonwharf.router;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.ArchRule;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the dependency rules between the packages: no use of another slice's internal package, no
 * cycles, no child processes in production code, and no system clock in the schedule, membership
 * and gateway packages.
 */
class ArchitectureTest {
  private static final String ROOT = "org.wigeonwharf.";
  private static final List<String> SLICES =
      List.of("peer", "platform", "membership", "config", "schedule", "relay", "gateway");
  private static final JavaClasses CLASSES =
      new ClassFileImporter().importPackages("org.wigeonwharf");

  private static String[] sliceAndWiring(String slice) {
    return new String[] {ROOT + slice + "..", ROOT + "router..", ROOT + "standin.."};
  }

  @Test
  void internalPackagesAreUsedOnlyByTheirSliceAndTheWiring() {
    for (String slice : SLICES) {
      noClasses()
          .that()
          .resideOutsideOfPackages(sliceAndWiring(slice))
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(ROOT + slice + ".internal..")
          .check(CLASSES);
    }
  }

  @Test
  void slicesDependOnEachOtherWithoutCycles() {
    slices().matching("org.wigeonwharf.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void productionCodeStartsNoProcesses() {
    noProcessBuilder().check(CLASSES);
  }

  private static ArchRule noProcessBuilder() {
    return noClasses()
        .that()
        .resideInAPackage("org.wigeonwharf..")
        .and()
        .resideOutsideOfPackage("org.wigeonwharf.standin..")
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.lang.ProcessBuilder");
  }

  @Test
  void decisionCodeReadsNoSystemClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "org.wigeonwharf.schedule..",
            "org.wigeonwharf.membership..",
            "org.wigeonwharf.gateway..")
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .check(CLASSES);
  }
}
