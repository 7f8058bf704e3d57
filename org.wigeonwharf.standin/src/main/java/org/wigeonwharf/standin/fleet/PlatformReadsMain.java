package org.wigeonwharf.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Measures how often routers read the platform while it works and in each of its failure modes. */
public final class PlatformReadsMain {
  private static final List<Integer> FLEET_SIZES = List.of(6, 8);
  private static final List<String> DOMAINS = List.of("hobart-a", "launceston-a", "burnie-a");
  private static final List<String> MODES =
      List.of("UP", "DOWN", "REFUSING", "GARBAGE", "SLOW", "CONFIG_DOWN");
  private static final long SETTLE_MILLIS = 12_000;
  private static final long MEASURE_MILLIS = 12_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private PlatformReadsMain() {}

  private record ReadCounts(long configuration, long total) {}

  /**
   * Prints one table row for each fleet size and mode of the platform stand-in.
   *
   * @param args folder of the operators' settings files
   * @throws Exception if a process can't be started or a request to it fails
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
    final ReadCounts before = readCounts(fleet);
    final long start = System.nanoTime();
    Thread.sleep(MEASURE_MILLIS);
    ReadCounts after = readCounts(fleet);
    double seconds = (System.nanoTime() - start) / 1e9;
    double configuration = (after.configuration - before.configuration) / seconds;
    double total = (after.total - before.total) / seconds;
    System.out.printf(
        "| %d | %s | %.2f | %.2f |%n", size, mode, configuration, total - configuration);
  }

  private static ReadCounts readCounts(Fleet fleet) throws IOException, InterruptedException {
    JsonNode n = JSON.readTree(fleet.post(fleet.platform(), "/control/counters", ""));
    return new ReadCounts(n.path("config_reads").asLong(), n.path("reads").asLong());
  }
}
