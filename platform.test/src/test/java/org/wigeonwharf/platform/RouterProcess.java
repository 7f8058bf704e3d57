package org.wigeonwharf.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.standin.fleet.FleetProcess;

/** Runs one router process that reads a store, on addresses chosen by the operating system. */
final class RouterProcess implements AutoCloseable {
  private static final long EXIT_SECONDS = 60;

  private final Path folder;
  private final InetSocketAddress store;
  private final FleetProcess process;
  private final InetSocketAddress callers;

  /**
   * Starts a router and waits until it has adopted a configuration.
   *
   * @param folder receives the settings file
   * @param store the address of the store
   */
  RouterProcess(Path folder, InetSocketAddress store) throws IOException, InterruptedException {
    this.folder = folder;
    this.store = store;
    writeSettings(0.2);
    process =
        FleetProcess.start(
            "router",
            "org.wigeonwharf.router.Main",
            List.of("--settings", folder.resolve("node.toml").toString()));
    callers = process.awaitAddress("router.started", "callers");
    process.awaitEvent("config.adopted");
  }

  /** Replaces the settings file; {@code ratio} is the ratio of the retry budget. */
  void writeSettings(double ratio) throws IOException {
    Path next = folder.resolve("next.toml");
    Files.writeString(
        next,
        """
        name = "vm1"
        failure_domain = "z1"
        fleet_secret = "secret-for-this-test"
        stop_grace_s = 30
        [listen]
        callers = "127.0.0.1:0"
        ready = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        metrics = "127.0.0.1:0"
        [store]
        address = "%s"
        [retry]
        ratio = %s
        slack = 20000
        """
            .formatted(Addresses.format(store), ratio));
    Files.move(next, folder.resolve("node.toml"), StandardCopyOption.REPLACE_EXISTING);
  }

  FleetProcess process() {
    return process;
  }

  InetSocketAddress callers() {
    return callers;
  }

  void awaitVersion(int version) throws IOException, InterruptedException {
    process.awaitLine(
        l ->
            l.path("event").asText().equals("config.adopted")
                && l.path("version").asInt() == version,
        "version " + version);
  }

  void awaitServer(String id) throws IOException, InterruptedException {
    process.awaitLine(
        l ->
            l.path("event").asText().equals("server.added") && l.path("server").asText().equals(id),
        "server " + id);
  }

  boolean isAlive() throws InterruptedException {
    return process.awaitExit(0) == -1;
  }

  @Override
  public void close() throws InterruptedException {
    process.kill();
    process.awaitExit(EXIT_SECONDS);
  }
}
