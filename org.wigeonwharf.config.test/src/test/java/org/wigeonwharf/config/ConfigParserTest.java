package org.wigeonwharf.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonwharf.model.AccountId;

/** Checks the merge and validation of settings files and the position and text of faults. */
class ConfigParserTest {
  private static final String BASE =
      """
      [tiers.urgent]
      rank = 0
      [classes.crew]
      tier = "urgent"
      [accounts.royal]
      classes = ["crew"]
      default_class = "crew"
      [accounts.royal.limits]
      concurrent = 5
      """;

  static List<SettingsFile> files(String... texts) {
    List<SettingsFile> files = new ArrayList<>();
    for (String t : texts) {
      files.add(new SettingsFile("%02d.toml".formatted(files.size()), t));
    }
    return files;
  }

  private static Either<List<Fault>, PublishedConfig> parse(String... texts) {
    return ConfigParser.parse(files(texts));
  }

  private static List<String> faults(String... texts) {
    return parse(texts).fold(f -> f.stream().map(Fault::toString).toList(), c -> List.of());
  }

  @Test
  void laterFileOverridesOneLimitWithoutTouchingTheRest() {
    PublishedConfig c = parse(BASE, "[accounts.royal.limits]\nconcurrent = 9\n").get();
    AccountSpec a = c.accounts().get(new AccountId("royal"));
    assertEquals(9, a.limits().concurrent());
    assertEquals("crew", a.defaultClass().value());
  }

  @Test
  void misspeltKeyIsNamedWithFileAndHint() {
    List<Fault> faults = parse(BASE, "[accounts.royal.limits]\nconcurent = 9\n").getLeft();
    assertEquals(
        List.of("01.toml:accounts.royal.limits.concurent: unknown key; did you mean 'concurrent'?"),
        faults.stream().map(Fault::toString).toList());
  }

  @Test
  void unknownTierReferenceIsRefused() {
    List<Fault> faults = parse(BASE, "[classes.crew]\ntier = \"urgnt\"\n").getLeft();
    assertTrue(faults.get(0).reason().contains("no tier is named 'urgnt'"));
  }

  @Test
  void syntaxErrorNamesTheLine() {
    List<Fault> faults = parse("[tiers.urgent]\nrank = = 0\n").getLeft();
    assertEquals("line 2", faults.get(0).place());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "tiers.t.rank = -1                      | 01.toml:tiers.t.rank: expected a number from",
        "tiers.t.rank = 99999999999             | 01.toml:tiers.t.rank: expected a number from",
        "tiers.t.rank = 0                       | 01.toml:tiers.t.rank: tier 'urgent' has the same",
        "tiers.t = 5                            | 01.toml:tiers.t: expected a named table",
        "tiers = []                             | 01.toml:tiers: expected a table",
        "classes.crew.share = inf               | 01.toml:classes.crew.share: expected a number",
        "classes.crew.deadline = 5              | 01.toml:classes.crew.deadline: expected a durati",
        "classes.crew.deadline = '5 s'          | 01.toml:classes.crew.deadline: expected a durati",
        "classes.crew.deadline = '0ms'          | 01.toml:classes.crew.deadline: expected a durati",
        "classes.crew.deadline = '99h'          | 01.toml:classes.crew.deadline: expected a durati",
        "accounts.royal.classes = ['none']      | 01.toml:accounts.royal.classes: no class is name",
        "accounts.royal.weight = nan            | 01.toml:accounts.royal.weight: expected a number",
        "accounts.royal.limits = 5              | 01.toml:accounts.royal.limits: expected a table",
        "accounts.royal.limits.concurrent = -1  | 01.toml:accounts.royal.limits.concurrent: expect",
        "accounts.royal.limits.concurrent = 1.5 | 01.toml:accounts.royal.limits.concurrent: expect",
        "accounts.'a.b'.clases = []             | 01.toml:accounts.\"a.b\".clases: unknown key; di",
        "services.s.kind = 'modle'              | 01.toml:services.s.kind: expected \"model\" or",
        "services.s.servers.a.address = '999.1.1.1:80' | 01.toml:services.s.servers.a.address: exp",
        "services.s.servers.a.address = '1.1.1.1:0' | 01.toml:services.s.servers.a.address: is not",
        "services.s.servers.a.address = '1.1.1.1:70000'| 01.toml:services.s.servers.a.address:",
        "services.s.servers.a.address = 'desk:80'      | 01.toml:services.s.servers.a.address: exp",
        "acounts.x = 1                          | 01.toml:acounts: unknown key; did you mean 'acco",
        "a = 1\\na = 2                          | 01.toml:line 2: syntax:",
        "services.s = 1\\n[services.s]\\nkind='plain' | 01.toml:line 2: syntax:",
        "a = 1979-99-99                         | 01.toml:line 1: syntax:",
        "accounts.royal.classes = [1979-05-27] | 01.toml:accounts.royal.classes: expected a list",
        "accounts.royal.default_class = 1979-05-27 | 01.toml:accounts.royal.default_class: expec",
        "\\n                                     | 01.toml:line 1: is empty",
        "[tiers.\"x\\u0007y\"]                    | 01.toml:tiers.\"x\\u0007y\": has a control cha",
      })
  void faultIsOneLineNamingFileAndKeyOrLine(String text, String start) {
    List<String> faults = faults(BASE, text.replace("\\n", "\n"));
    assertTrue(faults.stream().anyMatch(f -> f.startsWith(start)), faults.toString());
    faults.forEach(f -> assertEquals(1, f.lines().count(), f));
  }

  @Test
  void invalidRankIsReportedOnce() {
    assertEquals(1, faults(BASE, "[tiers.t]\nrank = -1\n").size());
  }

  @Test
  void overriddenInvalidValueIsNotReported() {
    assertEquals(
        List.of(), faults(BASE, "classes.crew.deadline = 7", "classes.crew.deadline = '7s'"));
  }

  @Test
  void valueReplacingTableRemovesItsKeys() {
    MergedSettings m =
        MergedSettings.merge(files(BASE, "accounts.royal.limits = 5", "x = 1")).get();
    assertEquals(List.of(), m.history("accounts.royal.limits.concurrent"));
    assertEquals("5", m.history("accounts.royal.limits").get(1).value());
    assertFalse(m.keys().contains("accounts.royal.limits.concurrent"));
  }

  @Test
  void publicationWithoutFilesIsRefused() {
    assertEquals(
        "folder:-: contains no .toml file",
        ConfigParser.parse(List.of()).getLeft().get(0).toString());
  }

  @Property(tries = 1_000, seed = "71")
  void anyTextIsParsedOrRefusedAndNeverThrows(@ForAll("tomlLike") String text) {
    parse(BASE, text);
  }

  @Provide
  Arbitrary<String> tomlLike() {
    Arbitrary<String> token =
        Arbitraries.of(
            "[",
            "]",
            "[[",
            "]]",
            "{",
            "}",
            "=",
            ".",
            ",",
            "\"",
            "\"\"\"",
            "'",
            "#",
            "\\",
            "\\u",
            "\n",
            " ",
            "tiers",
            "accounts",
            "rank",
            "a",
            "0",
            "-1",
            "1e400",
            "0x",
            "inf",
            "nan",
            "1979-05-27",
            "T07:32:00Z",
            "true",
            "99999999999999999999",
            "1_000",
            "é",
            "\u0000");
    return Arbitraries.oneOf(
        token.list().ofMaxSize(25).map(t -> String.join("", t)), Arbitraries.strings());
  }

  @Test
  void deeplyNestedTextIsRefusedAndNeverThrows() {
    assertFalse(faults("a = " + "[".repeat(200_000)).isEmpty());
    assertFalse(faults("a = " + "{b=".repeat(200_000)).isEmpty());
    assertFalse(faults("a" + ".a".repeat(200_000) + " = 1").isEmpty());
  }
}
