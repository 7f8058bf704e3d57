package org.wigeonwharf.standin.capacity;

import java.util.ArrayList;
import java.util.List;
import org.wigeonwharf.config.ConfigParser;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.Snapshot;

/** Generates configurations with a given number of failure domains, servers and accounts. */
final class FleetConfig {
  private static final int SERVICES = 4;
  private static final String TOKEN_HASH =
      "84023add5de2a3bf79ef31beff08a57e0b9ac06464a67f56546528bcee96a2fa";

  private FleetConfig() {}

  static List<SettingsFile> settingsFiles(int domains, int servers, int accounts) {
    StringBuilder base = new StringBuilder();
    for (int t = 0; t < 4; t++) {
      base.append("[tiers.t%d]\nrank = %d\n".formatted(t, t));
      base.append("[classes.c%d]\ntier = \"t%d\"\nfirst_token_target = \"1s\"\n".formatted(t, t));
      base.append("deadline = \"1h\"\nwaiting_places = 100000\n");
    }
    for (int s = 0; s < SERVICES; s++) {
      base.append("[services.s%d]\nkind = \"model\"\nwaiting_places = 100000\n".formatted(s));
    }
    List<SettingsFile> files = new ArrayList<>();
    files.add(new SettingsFile("10-base.toml", base.toString()));
    for (int s = 0; s < SERVICES; s++) {
      files.add(
          new SettingsFile("20-servers-%d.toml".formatted(s), serverSettings(s, domains, servers)));
    }
    files.add(new SettingsFile("30-accounts.toml", accountSettings(accounts)));
    return files;
  }

  private static String serverSettings(int service, int domains, int servers) {
    StringBuilder text = new StringBuilder();
    for (int i = service; i < servers; i += SERVICES) {
      text.append("[services.s%d.servers.server-%05d]\n".formatted(service, i));
      text.append("address = \"127.0.0.1:%d\"\n".formatted(1 + i % 60_000));
      text.append("domain = \"domain-%02d\"\nslots = 32\n".formatted(i / SERVICES % domains));
    }
    return text.toString();
  }

  private static String accountSettings(int accounts) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < accounts; i++) {
      String hash = "%08x".formatted(i) + TOKEN_HASH.substring(8);
      text.append("[accounts.account-%04d]\ntoken_sha256 = [\"%s\"]\n".formatted(i, hash));
      text.append("classes = [\"c0\", \"c1\", \"c2\", \"c3\"]\ndefault_class = \"c0\"\n");
    }
    return text.toString();
  }

  /**
   * Parses and checks settings files.
   *
   * @throws IllegalStateException if they have a fault
   */
  static PublishedConfig parse(List<SettingsFile> files) {
    return ConfigParser.parse(files).getOrElseThrow(f -> new IllegalStateException(f.toString()));
  }

  static Snapshot snapshot(int domains, int servers, int accounts) {
    List<SettingsFile> files = settingsFiles(domains, servers, accounts);
    return new Snapshot(1, files, parse(files));
  }
}
