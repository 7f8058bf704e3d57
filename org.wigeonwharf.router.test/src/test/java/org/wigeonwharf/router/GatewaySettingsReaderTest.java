package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.gateway.GatewaySettings;

/** Renders the settings template of the deployment and reads the result. */
class GatewaySettingsReaderTest {
  private static final Path TEMPLATE = Path.of("..", "deploy", "router.toml");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)}}");
  private static final List<String> FIGURES = List.of("8", "8.0", "7.5", "7.50", "0.5", "12.125");

  private final Map<String, String> fields =
      new HashMap<>(
          Map.of(
              "node-name", "vm1",
              "zone", "z1",
              "ip", "127.0.0.1",
              "seeds|json", "[\"127.0.0.1:7001\"]",
              "listen.front", "127.0.0.1:7000",
              "listen.readiness-addr", "127.0.0.1:7002",
              "listen.control", "127.0.0.1:7001",
              "platform.address", "127.0.0.1:7003"));

  @TempDir private Path folder;

  GatewaySettingsReaderTest() {
    fields.put("bounds.grace-s", "8");
    fields.put("bounds.retry-budget-ratio", "0.2");
    fields.put("bounds.budget-slack", "56");
    fields.put("bounds.budget-window-s", "10");
  }

  private Either<List<Fault>, GatewaySettings> read(String text) throws IOException {
    Path file = folder.resolve("node.toml");
    Files.writeString(file, text);
    return RouterSettings.load(file).flatMap(GatewaySettingsReader::check);
  }

  private GatewaySettings readRendered(String field, String value) throws IOException {
    Map<String, String> all = new HashMap<>(fields);
    all.put(field, value);
    Matcher m = PLACEHOLDER.matcher(Files.readString(TEMPLATE));
    String text = m.replaceAll(x -> Matcher.quoteReplacement(all.get(x.group(1))));
    Either<List<Fault>, GatewaySettings> settings = read(text);
    assertTrue(settings.isRight(), field + " = " + value + ": " + settings);
    return settings.get();
  }

  // Guards against settings that no router starts with because a published bound is a fraction.
  @Test
  void everyBoundOfTheTemplateMayBeFraction() throws IOException {
    for (String figure : FIGURES) {
      double value = Double.parseDouble(figure);
      long millis = (long) (value * 1_000);
      assertEquals(millis, readRendered("bounds.grace-s", figure).stopGraceMillis());
      assertEquals(millis, readRendered("bounds.budget-window-s", figure).retryWindowMillis());
      assertEquals(value, readRendered("bounds.budget-slack", figure).retrySlack());
    }
    for (String figure : List.of("0", "0.25", "1", "1.0")) {
      double value = Double.parseDouble(figure);
      assertEquals(value, readRendered("bounds.retry-budget-ratio", figure).retryRatio());
    }
  }

  @Test
  void figureOutOfRangeIsReportedByKey() throws IOException {
    String text =
        Files.readString(TEMPLATE).replaceAll("\\{\\{(listen|platform)[^}]*}}", "127.0.0.1:1");
    for (String figure : List.of("-1", "inf", "nan", "\"8\"", "true")) {
      String settings =
          text.replace("{{bounds.grace-s}}", figure)
              .replace("{{bounds.budget-window-s}}", figure)
              .replace("{{seeds|json}}", "[]")
              .replaceAll("\\{\\{bounds[^}]*}}", "1")
              .replaceAll("\\{\\{ip}}", "127.0.0.1");
      String faults = read(settings).swap().get().toString();
      assertTrue(faults.contains("node.toml:stop_grace_s: expected a number"), faults);
      assertTrue(faults.contains("node.toml:retry.window_s: expected a number"), faults);
    }
  }
}
