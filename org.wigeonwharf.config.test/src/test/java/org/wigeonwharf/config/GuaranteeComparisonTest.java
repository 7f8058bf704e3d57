package org.wigeonwharf.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks which configuration changes are reported as lowered guarantees, including defaults. */
class GuaranteeComparisonTest {
  private static final String BASE =
      """
      [tiers.urgent]
      rank = 0
      [tiers.normal]
      rank = 1
      [tiers.bulk]
      rank = 2
      [classes.crew]
      tier = "normal"
      deadline = "5s"
      first_token_target = "800ms"
      spill = true
      [classes.other]
      tier = "bulk"
      [services.desk]
      kind = "model"
      [services.desk.servers.a1]
      address = "127.0.0.1:9001"
      domain = "hobart-a"
      [services.desk.servers.a2]
      address = "127.0.0.1:9002"
      domain = "hobart-a"
      state = "leaving"
      [accounts.royal]
      classes = ["crew", "other"]
      default_class = "crew"
      [accounts.royal.limits]
      concurrent = 5
      """;

  private static PublishedConfig parse(String... texts) {
    return ConfigParser.parse(ConfigParserTest.files(texts)).get();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "accounts.royal.limits.concurrent=4       | accounts.royal.limits.concurrent: 5 -> 4",
        "accounts.royal.limits.concurrent=6       | ''",
        "accounts.royal.limits.tokens_per_second=9"
            + " | accounts.royal.limits.tokens_per_second: unlimited -> 9",
        "accounts.royal.classes=['crew']          | accounts.royal.classes: crew, other -> crew",
        "classes.crew.tier='bulk'  | classes.crew.tier: normal (rank 1) -> bulk (rank 2)",
        "classes.crew.tier='urgent'               | ''",
        "tiers.normal.rank=9       | classes.crew.tier: normal (rank 1) -> normal (rank 9)",
        "classes.crew.deadline='4s'               | classes.crew.deadline: 5000ms -> 4000ms",
        "classes.crew.deadline='1m'               | ''",
        "classes.crew.first_token_target='2s'"
            + " | classes.crew.first_token_target: 800ms -> 2000ms",
        "classes.crew.spill=false                 | classes.crew.spill: true -> false",
        "services.desk.servers.a1.state='leaving'"
            + " | services.desk.servers.a1.state: in -> leaving",
        "services.desk.servers.a1.slots=3         | services.desk.servers.a1.slots: 4 -> 3",
      })
  void onlyReducedValuesAreReported(String override, String expected) {
    List<String> lowered =
        GuaranteeComparison.lowered(parse(BASE), parse(BASE, override)).stream()
            .map(p -> p.key() + ": " + p.before() + " -> " + p.after())
            .toList();
    assertEquals(expected.isEmpty() ? List.of() : List.of(expected), lowered);
  }

  @Test
  void removedItemsAreReportedAndUnsetLimitsAreNot() {
    String reduced =
        BASE.substring(0, BASE.indexOf("[services.desk.servers.a2]"))
            + "[accounts.new]\nclasses = [\"crew\"]\ndefault_class = \"crew\"\n";
    assertEquals(
        List.of(new LoweredGuarantee("accounts.royal", "set", "removed")),
        GuaranteeComparison.lowered(parse(BASE), parse(reduced)));
    String unlimited = BASE.replace("concurrent = 5", "");
    assertEquals(List.of(), GuaranteeComparison.lowered(parse(BASE), parse(unlimited)));
  }

  @Test
  void diffMarksClassWhoseTierRankIsLowered(@TempDir Path before, @TempDir Path after)
      throws IOException {
    Files.writeString(before.resolve("10.toml"), BASE);
    Files.writeString(after.resolve("10.toml"), BASE);
    Files.writeString(after.resolve("90.toml"), "[tiers.normal]\nrank = 5\n");
    List<DiffCommand.Change> changes =
        new DiffCommand().setBefore(before).setAfter(after).call().get();
    assertEquals(
        List.of(
            new DiffCommand.Change("classes.crew.tier", "normal (rank 1)", "normal (rank 5)", true),
            new DiffCommand.Change("tiers.normal.rank", "1", "5", false)),
        changes);
  }
}
