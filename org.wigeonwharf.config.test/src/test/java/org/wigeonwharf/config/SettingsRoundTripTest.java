package org.wigeonwharf.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;

/**
 * Checks that valid settings are accepted and read back, whatever their names and files.
 *
 * <p>Guards against names that are misquoted or misparsed, and against a fault reported for an
 * invalid value that a later file overrides.
 */
class SettingsRoundTripTest {
  private static final int FILES = 4;

  @Provide
  Arbitrary<String> names() {
    return Arbitraries.strings()
        .withChars("abzAZ019-_. '\"\\#=[]{}äж")
        .ofMinLength(1)
        .ofMaxLength(12)
        .filter(s -> !s.isBlank());
  }

  private static String quoted(String s) {
    return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
  }

  @Property(tries = 300, seed = "72")
  void validSettingsAreAcceptedAndReadBack(
      @ForAll("names") String a, @ForAll("names") String b, @ForAll long seed) {
    Random random = new Random(seed);
    final String quotedA = quoted(a);
    final String quotedB = quoted(b);
    final int rank = random.nextInt(16);
    final int concurrent = random.nextInt(AccountLimits.MAX_CONCURRENT + 1);
    final double rate = random.nextInt(1_000_000) / 100.0;
    final double share = random.nextInt(91) / 100.0;
    final int millis = 1 + random.nextInt(86_400_000);
    final int slots = 1 + random.nextInt(10_000);
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("tiers.%s.rank".formatted(quotedA), "" + rank);
    settings.put("classes.%s.tier".formatted(quotedB), quotedA);
    settings.put("classes.%s.share".formatted(quotedB), "" + share);
    settings.put("classes.%s.deadline".formatted(quotedB), quoted(millis + "ms"));
    settings.put("services.%s.kind".formatted(quotedA), "\"model\"");
    settings.put("services.%s.servers.%s.address".formatted(quotedA, quotedB), "\"[::1]:65535\"");
    settings.put("services.%s.servers.%s.domain".formatted(quotedA, quotedB), quotedA);
    settings.put("services.%s.servers.%s.slots".formatted(quotedA, quotedB), "" + slots);
    settings.put("accounts.%s.classes".formatted(quotedA), "[" + quotedB + "]");
    settings.put("accounts.%s.default_class".formatted(quotedA), quotedB);
    settings.put("accounts.%s.limits.concurrent".formatted(quotedA), "" + concurrent);
    settings.put("accounts.%s.limits.tokens_per_second".formatted(quotedA), "" + rate);

    List<SettingsFile> files = write(settings, random);
    Either<List<Fault>, PublishedConfig> parsed = ConfigParser.parse(files);
    assertTrue(parsed.isRight(), () -> parsed.getLeft() + " in " + files);
    PublishedConfig c = parsed.get();
    assertEquals(rank, c.tiers().get(a).rank());
    ClassSpec k = c.classes().get(new ClassId(b));
    assertEquals(a, k.tier().name());
    assertEquals(share, k.share());
    assertEquals(millis, k.deadline().toMillis());
    assertEquals(slots, c.server(new ServiceId(a), new ServerId(b)).get().slots());
    AccountSpec account = c.accounts().get(new AccountId(a));
    assertEquals(b, account.defaultClass().value());
    assertEquals(concurrent, account.limits().concurrent());
    assertEquals(rate, account.limits().tokensPerSecond());
  }

  /** Distributes settings over files; some get an invalid value that a later file overrides. */
  private static List<SettingsFile> write(Map<String, String> settings, Random random) {
    List<StringBuilder> texts = new ArrayList<>();
    for (int i = 0; i < FILES; i++) {
      texts.add(new StringBuilder("# file " + i + "\n"));
    }
    settings.forEach(
        (key, value) -> {
          int file = random.nextInt(FILES);
          texts.get(file).append(key + " = " + value + "\n");
          if (file > 0 && random.nextBoolean()) {
            texts.get(random.nextInt(file)).append(key + " = -1\n");
          }
        });
    return ConfigParserTest.files(texts.stream().map(String::valueOf).toArray(String[]::new));
  }
}
