package org.wigeonwharf.router;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.MergedSettings;
import org.wigeonwharf.config.SectionReader;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.peer.FleetSecret;

/**
 * Holds the process settings of one router.
 *
 * @param name the entry VM's name
 * @param domain the failure domain of the entry VM
 * @param callerAddress the listen address for callers
 * @param peerAddress the listen address for other routers
 * @param operatorAddress the listen address for health checks, metrics and the state dump
 * @param configAddress the address of the platform's configuration service
 * @param vmListAddress the address of the platform's VM list
 * @param secret the fleet's shared secret, which authenticates routers to each other
 */
public record RouterSettings(
    String name,
    FailureDomain domain,
    InetSocketAddress callerAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress configAddress,
    InetSocketAddress vmListAddress,
    FleetSecret secret) {
  private static final String NO_KEY = "-";

  /** Replaces an invalid secret so that the remaining settings are still checked. */
  private static final String PLACEHOLDER_SECRET = "unset-unset-unset-unset";

  /**
   * Reads and validates the settings file of a router.
   *
   * @param file the TOML file
   * @return the settings, or all faults found
   */
  public static Either<List<Fault>, RouterSettings> read(Path file) {
    return load(file).flatMap(RouterSettings::check);
  }

  /**
   * Reads the settings file of a router or gateway without validating its content.
   *
   * @param file the TOML file
   * @return the parsed content, or the faults that prevent reading it
   */
  static Either<List<Fault>, MergedSettings> load(Path file) {
    String name = String.valueOf(file.getFileName());
    try {
      String text = Files.readString(file);
      return MergedSettings.merge(List.of(new SettingsFile(name, text)));
    } catch (MalformedInputException e) {
      return Either.left(List.of(new Fault(name, NO_KEY, "is not UTF-8")));
    } catch (IOException e) {
      return Either.left(List.of(new Fault(name, NO_KEY, "can't be read: " + e.getMessage())));
    }
  }

  static Either<List<Fault>, RouterSettings> check(MergedSettings merged) {
    List<Fault> faults = new ArrayList<>();
    SectionReader root = SectionReader.root(merged, faults);
    final String name = root.requireText("name");
    final String domain = root.requireText("failure_domain");
    SectionReader listen = root.section("listen");
    final InetSocketAddress callers = listen.address("callers", 0);
    final InetSocketAddress peers = listen.address("peers", 0);
    final InetSocketAddress operators = listen.address("operators", 0);
    listen.reportUnknownKeys();
    SectionReader platform = root.section("platform");
    final InetSocketAddress config = platform.address("configuration", 1);
    final InetSocketAddress vms = platform.address("vm_list", 1);
    platform.reportUnknownKeys();
    FleetSecret secret = readSecret(root);
    root.reportUnknownKeys();
    if (!faults.isEmpty()) {
      return Either.left(faults);
    }
    return Either.right(
        new RouterSettings(
            name, new FailureDomain(domain), callers, peers, operators, config, vms, secret));
  }

  static FleetSecret readSecret(SectionReader root) {
    String text = root.requireText("fleet_secret");
    try {
      return new FleetSecret(text);
    } catch (IllegalArgumentException e) {
      // requireText has already reported a missing or blank text.
      if (!text.isBlank()) {
        root.addFault("fleet_secret", String.valueOf(e.getMessage()));
      }
      return new FleetSecret(PLACEHOLDER_SECRET);
    }
  }
}
