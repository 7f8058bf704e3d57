package org.wigeonwharf.standin.relay;

import java.nio.file.Path;

/** Measures the relay's latency or the effect of pooled connections and prints a table. */
public final class RelayMeasureMain {
  private static final int EXIT_USAGE = 2;
  private static final int ARGUMENT_COUNT = 2;

  private RelayMeasureMain() {}

  /**
   * Runs one measurement.
   *
   * @param args {@code speed} or {@code connections}, then the folder of the operators' settings
   *     files
   * @throws Exception if a process can't be started or a connection can't be opened
   */
  public static void main(String[] args) throws Exception {
    if (args.length != ARGUMENT_COUNT) {
      System.err.println("usage: speed|connections CONFIG_FOLDER");
      System.exit(EXIT_USAGE);
    }
    if (args[0].equals("connections")) {
      new ConnectionMeasurement().run(System.out);
    } else {
      try (SpeedMeasurement speed = new SpeedMeasurement(Path.of(args[1]))) {
        speed.run(System.out);
      }
    }
    System.exit(0);
  }
}
