package org.wigeonwharf.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.AccountId;

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

  private static Either<List<Fault>, PublishedConfig> parse(String... texts) {
    List<SettingsFile> files = new ArrayList<>();
    for (String t : texts) {
      files.add(new SettingsFile("%02d.toml".formatted(files.size()), t));
    }
    return ConfigParser.parse(files);
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
  void referenceToNothingIsRefused() {
    List<Fault> faults = parse(BASE, "[classes.crew]\ntier = \"urgnt\"\n").getLeft();
    assertTrue(faults.get(0).reason().contains("no tier is named 'urgnt'"));
  }

  @Test
  void syntaxErrorNamesTheLine() {
    List<Fault> faults = parse("[tiers.urgent]\nrank = = 0\n").getLeft();
    assertEquals("line 2", faults.get(0).place());
  }
}
