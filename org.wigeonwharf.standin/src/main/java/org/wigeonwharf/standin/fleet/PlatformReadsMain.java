package org.wigeonwharf.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** PlatformReadsMain counts how often real routers read the platform in each of its states. */
public final class PlatformReadsMain {
  private static final List<Integer> FLEET_SIZES = List.of(6, 8);
  private static final List<String> DOMAINS = List.of("hobart-a", "launceston-a", "burnie-a");
  private static final List<String> MODES =
      List.of("UP", "DOWN", "REFUSING", "GARBAGE", "SLOW", "CONFIG_DOWN");
  private static final long SETTLE_MILLIS = 12_000;
  private static final long COUNT_MILLIS = 12_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private PlatformReadsMain() {}

  private record Counts(long configuration, long total) {}

  /**
   * Prints one row for each fleet size and state of the platform.
   *
   * @param args the operators' folder
   * @throws Exception if a process can't be started
   */
  public static void main(String[] args) throws Exception {
    System.out.println("| routers | platform | configuration reads/s | VM list reads/s |");
    System.out.println("| --- | --- | --- | --- |");
    for (int size : FLEET_SIZES) {
      try (Fleet fleet = new Fleet(Path.of(args[0]))) {
        for (int i = 0; i < size; i++) {
          fleet.addRouter("vm" + i, DOMAINS.get(i % DOMAINS.size()));
        }
        fleet.publishVms();
        fleet.awaitReady();
        for (String mode : MODES) {
          measure(fleet, size, mode);
        }
      }
    }
  }

  private static void measure(Fleet fleet, int size, String mode) throws Exception {
    fleet.post(fleet.platform(), "/control/mode?mode=" + mode, "");
    Thread.sleep(SETTLE_MILLIS);
    final Counts before = counts(fleet);
    final long begun = System.nanoTime();
    Thread.sleep(COUNT_MILLIS);
    Counts after = counts(fleet);
    double seconds = (System.nanoTime() - begun) / 1e9;
    double configuration = (after.configuration - before.configuration) / seconds;
    double total = (after.total - before.total) / seconds;
    System.out.printf(
        "| %d | %s | %.2f | %.2f |%n", size, mode, configuration, total - configuration);
  }

  private static Counts counts(Fleet fleet) throws IOException, InterruptedException {
    JsonNode n = JSON.readTree(fleet.post(fleet.platform(), "/control/counters", ""));
    return new Counts(n.path("config_reads").asLong(), n.path("reads").asLong());
  }
}
