package org.wigeonwharf.router;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.MergedSettings;
import org.wigeonwharf.config.SectionReader;
import org.wigeonwharf.gateway.GatewaySettings;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.FailureDomain;

/** Reads and validates the process settings of a gateway. */
final class GatewaySettingsReader {
  /** Section that only the settings of a gateway have; it selects the kind of process. */
  static final String STORE_SECTION = "store";

  /** Environment variable with the region of each failure domain. */
  static final String REGIONS_VARIABLE = "ROUTER_REGIONS";

  private static final double MAX_RETRY_RATIO = 10;
  private static final int MAX_RETRY_SLACK = 100_000;
  private static final double MAX_DURATION_SECONDS = 3_600;
  private static final double MIN_WINDOW_SECONDS = 0.001;
  private static final double DEFAULT_HISTORY_SECONDS = 20;
  private static final double MILLIS_PER_SECOND = 1_000;

  private GatewaySettingsReader() {}

  /**
   * Returns whether the settings are those of a gateway.
   *
   * @param merged the parsed settings file
   * @return true if they have a store section
   */
  static boolean isGatewaySettings(MergedSettings merged) {
    return SectionReader.root(merged, new ArrayList<>()).has(STORE_SECTION);
  }

  /**
   * Validates the settings of a gateway.
   *
   * @param merged the parsed settings file
   * @param environmentRegions the region of each failure domain, as {@code DOMAIN=REGION} separated
   *     by commas, which counts if the settings have none; null if not given
   * @return the settings, or all faults found
   */
  static Either<List<Fault>, GatewaySettings> check(
      MergedSettings merged, @Nullable String environmentRegions) {
    List<Fault> faults = new ArrayList<>();
    SectionReader root = SectionReader.root(merged, faults);
    final String name = root.requireText("name");
    final String domain = root.requireText("failure_domain");
    SectionReader listen = root.section("listen");
    final InetSocketAddress callers = listen.address("callers", 0);
    final InetSocketAddress ready = listen.address("ready", 0);
    final InetSocketAddress peers = listen.address("peers", 0);
    final InetSocketAddress metrics = listen.address("metrics", 0);
    listen.reportUnknownKeys();
    SectionReader store = root.section(STORE_SECTION);
    final InetSocketAddress storeAddress = store.address("address", 1);
    final long storeHistoryMillis = readSeconds(store, "history_s", DEFAULT_HISTORY_SECONDS, 0);
    store.reportUnknownKeys();
    SectionReader retry = root.section("retry");
    final double retryRatio = retry.decimal("ratio", 0, 0, MAX_RETRY_RATIO);
    final double retrySlack = retry.decimal("slack", 0, 0, MAX_RETRY_SLACK);
    final long retryWindowMillis = readSeconds(retry, "window_s", 10, MIN_WINDOW_SECONDS);
    retry.reportUnknownKeys();
    final Map<FailureDomain, String> regions = readRegions(root, environmentRegions);
    final long stopGraceMillis = readSeconds(root, "stop_grace_s", 8, 0);
    final List<InetSocketAddress> seeds = readSeeds(root);
    final var secret = RouterSettings.readSecret(root);
    root.reportUnknownKeys();
    if (!faults.isEmpty()) {
      return Either.left(faults);
    }
    return Either.right(
        new GatewaySettings(
            name,
            new FailureDomain(domain),
            callers,
            ready,
            peers,
            metrics,
            storeAddress,
            storeHistoryMillis,
            seeds,
            secret,
            retryRatio,
            retrySlack,
            retryWindowMillis,
            regions,
            stopGraceMillis));
  }

  /** Reads a duration in seconds, whole or with a fraction, and returns it in ms. */
  private static long readSeconds(
      SectionReader section, String key, double defaultSeconds, double minSeconds) {
    double seconds = section.decimal(key, defaultSeconds, minSeconds, MAX_DURATION_SECONDS);
    return Math.round(seconds * MILLIS_PER_SECOND);
  }

  /** Reads the optional table of regions by failure domain. */
  private static Map<FailureDomain, String> readRegions(
      SectionReader root, @Nullable String environmentRegions) {
    SectionReader section = root.section("regions");
    if (section.keys().isEmpty() && environmentRegions != null) {
      return parseRegions(environmentRegions, root);
    }
    Map<FailureDomain, String> regions = new HashMap<>();
    for (String domain : section.keys()) {
      String region = section.requireText(domain);
      if (domain.isBlank()) {
        section.addFault(domain, "the name of the failure domain is blank");
      } else if (!region.isBlank()) {
        regions.put(new FailureDomain(domain), region);
      }
    }
    return regions;
  }

  private static Map<FailureDomain, String> parseRegions(String text, SectionReader root) {
    Map<FailureDomain, String> regions = new HashMap<>();
    for (String entry : text.split(",")) {
      String[] pair = entry.split("=", -1);
      if (pair.length == 2 && !pair[0].isBlank() && !pair[1].isBlank()) {
        regions.put(new FailureDomain(pair[0].strip()), pair[1].strip());
      } else if (!entry.isBlank()) {
        root.addFault(REGIONS_VARIABLE, "not of the form DOMAIN=REGION: " + entry.strip());
      }
    }
    return regions;
  }

  private static List<InetSocketAddress> readSeeds(SectionReader root) {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (String text : root.texts("seeds")) {
      try {
        seeds.add(Addresses.parse(text));
      } catch (IllegalArgumentException e) {
        root.addFault("seeds", String.valueOf(e.getMessage()));
      }
    }
    return seeds;
  }
}
