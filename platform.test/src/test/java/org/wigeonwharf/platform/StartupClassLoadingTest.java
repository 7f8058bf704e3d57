package org.wigeonwharf.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.standin.fleet.FleetProcess;

/**
 * Checks that a router with the deployed options does not load slow libraries that it can do
 * without. A router serves no requests until it has started, so such libraries lengthen each
 * restart.
 */
class StartupClassLoadingTest {
  private static final long TIMEOUT_SECONDS = 60;

  /** Time in ms in which a router sends its first signed messages to the other routers. */
  private static final long GOSSIP_MILLIS = 500;

  /** Class name parts of libraries whose loading takes a tenth of the startup time or more. */
  private static final List<String> SLOW_TO_LOAD =
      List.of(
          "jdk.jfr.internal.PlatformEventType",
          "ch.qos.logback.core.joran.action.",
          "ch.qos.logback.classic.util.ContextInitializer",
          "java.nio.channels.spi.SelectorProvider$1",
          "javax.crypto.Mac",
          "sun.security.ec.SunEC",
          "com.sun.org.apache.xerces.");

  @TempDir private Path folder;

  /** Returns the system properties of deployed routers. */
  private static List<String> deployedProperties() throws Exception {
    String deploy = Files.readString(Path.of("..", "deploy", "system.toml"));
    return Arrays.stream(deploy.split("\\s+")).filter(w -> w.startsWith("-D")).toList();
  }

  @Test
  void deployedRouterLoadsNoSlowLibraries() throws Exception {
    Path classes = folder.resolve("classes.txt");
    List<String> options = new ArrayList<>(deployedProperties());
    options.add("-Xlog:class+load:file=" + classes);
    try (StoreStandIn store = new StoreStandIn()) {
      Path settings = folder.resolve("node.toml");
      Files.writeString(
          settings,
          """
          name = "vm1"
          failure_domain = "z1"
          fleet_secret = "secret-for-this-test"
          seeds = ["127.0.0.1:9"]
          [listen]
          callers = "127.0.0.1:0"
          ready = "127.0.0.1:0"
          peers = "127.0.0.1:0"
          metrics = "127.0.0.1:0"
          [store]
          address = "%s"
          """
              .formatted(Addresses.format(store.address())));
      store.put("op/config", "{\"version\":1,\"routes\":[],\"services\":[]}");
      FleetProcess router =
          FleetProcess.start(
              "router",
              options,
              "org.wigeonwharf.router.Main",
              List.of("--settings", settings.toString()));
      router.awaitEvent("config.adopted");
      Thread.sleep(GOSSIP_MILLIS);
      router.kill();
      router.awaitExit(TIMEOUT_SECONDS);
    }
    List<String> loaded = Files.readAllLines(classes);
    assertTrue(loaded.size() > 500, "classes loaded: " + loaded.size());
    assertEquals(
        List.of(),
        loaded.stream().filter(l -> SLOW_TO_LOAD.stream().anyMatch(l::contains)).toList());
  }
}
