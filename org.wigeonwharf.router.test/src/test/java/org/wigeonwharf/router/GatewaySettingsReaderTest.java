package org.wigeonwharf.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.gateway.GatewaySettings;
import org.wigeonwharf.model.FailureDomain;

/** Renders the settings template of the deployment and reads the result. */
class GatewaySettingsReaderTest {
  private static final Path TEMPLATE = Path.of("..", "deploy", "router.toml");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)}}");
  private static final Pattern BOUND = Pattern.compile("(?m)^(\\w+) = \\{\\{(bounds[.][^}]+)}}$");
  private static final List<String> FIGURES = List.of("8", "8.0", "7.5", "7.50", "0.5", "0.125");

  /** What the router makes of each published bound, by the key of the settings. */
  private static final Map<String, ToDoubleFunction<GatewaySettings>> BOUNDS =
      Map.of(
          "stop_grace_s",
          s -> s.stopGraceMillis() / 1e3,
          "ratio",
          GatewaySettings::retryRatio,
          "slack",
          GatewaySettings::retrySlack,
          "window_s",
          s -> s.retryWindowMillis() / 1e3);

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

  private Either<List<Fault>, GatewaySettings> read(String text) throws IOException {
    return read(text, null);
  }

  private Either<List<Fault>, GatewaySettings> read(
      String text, @Nullable String environmentRegions) throws IOException {
    Path file = folder.resolve("node.toml");
    Files.writeString(file, text);
    return RouterSettings.load(file)
        .flatMap(merged -> GatewaySettingsReader.check(merged, environmentRegions));
  }

  private GatewaySettings readRendered(String field, String value) throws IOException {
    Map<String, String> all = new HashMap<>(fields);
    all.put(field, value);
    Matcher m = PLACEHOLDER.matcher(Files.readString(TEMPLATE));
    String text = m.replaceAll(x -> Matcher.quoteReplacement(all.getOrDefault(x.group(1), "1")));
    Either<List<Fault>, GatewaySettings> settings = read(text);
    assertTrue(settings.isRight(), field + " = " + value + ": " + settings);
    return settings.get();
  }

  // Guards against settings that no router starts with because a published bound is a fraction.
  @Test
  void everyBoundOfTheTemplateMayBeFraction() throws IOException {
    Set<String> checked = new HashSet<>();
    Matcher m = BOUND.matcher(Files.readString(TEMPLATE));
    while (m.find()) {
      String key = m.group(1);
      checked.add(key);
      for (String figure : FIGURES) {
        double read = BOUNDS.get(key).applyAsDouble(readRendered(m.group(2), figure));
        assertEquals(Double.parseDouble(figure), read, 1e-9, key);
      }
    }
    assertEquals(BOUNDS.keySet(), checked);
  }

  private String renderedTemplate() throws IOException {
    return PLACEHOLDER
        .matcher(Files.readString(TEMPLATE))
        .replaceAll(x -> Matcher.quoteReplacement(fields.getOrDefault(x.group(1), "1")));
  }

  @Test
  void regionOfEachFailureDomainIsRead() throws IOException {
    Map<FailureDomain, String> regions =
        Map.of(new FailureDomain("z1"), "r1", new FailureDomain("z-2.a"), "r 2");
    String text = renderedTemplate();
    String section = text + "\n[regions]\nz1 = \"r1\"\n\"z-2.a\" = \"r 2\"\n";
    assertEquals(regions, read(section).get().regions());
    assertEquals(regions, read(text, "z1=r1, z-2.a=r 2,").get().regions());
    assertEquals(regions, read(section, "z1=other").get().regions());
  }

  @Test
  void settingsWithoutRegionsAreValidAndFaultyOnesAreReported() throws IOException {
    String text = renderedTemplate();
    assertEquals(Map.of(), read(text).get().regions());
    assertEquals(Map.of(), read(text + "\n[regions]\n", "").get().regions());
    String section = text + "\n[regions]\nz1 = 3\nz2 = \" \"\n\" \" = \"r\"\n";
    String faults = read(section).swap().get().toString();
    assertTrue(faults.contains("node.toml:regions.z1: expected a text"), faults);
    assertTrue(faults.contains("node.toml:regions.z2: is blank"), faults);
    assertTrue(faults.contains("the name of the failure domain is blank"), faults);
    for (String variable : List.of("z1", "z1=", "=r1", "a=b=c", "{\"z1\":\"r1\"}")) {
      assertTrue(read(text, variable).isLeft(), variable);
    }
  }

  @Test
  void figureOutOfRangeIsReportedByKey() throws IOException {
    String text =
        Files.readString(TEMPLATE).replaceAll("\\{\\{(listen|platform)[^}]*}}", "127.0.0.1:1");
    for (String figure : List.of("-1", "inf", "nan", "\"8\"", "true")) {
      String settings =
          text.replace("{{bounds.grace-s}}", figure)
              .replaceFirst("window_s = .*", "window_s = " + figure)
              .replace("{{seeds|json}}", "[]")
              .replaceAll("\\{\\{bounds[^}]*}}", "1")
              .replaceAll("\\{\\{ip}}", "127.0.0.1");
      String faults = read(settings).swap().get().toString();
      assertTrue(faults.contains("node.toml:stop_grace_s: expected a number"), faults);
      assertTrue(faults.contains("node.toml:retry.window_s: expected a number"), faults);
    }
  }
}
