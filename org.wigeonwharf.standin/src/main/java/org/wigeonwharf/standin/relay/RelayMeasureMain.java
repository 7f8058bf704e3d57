package org.wigeonwharf.standin.relay;

import java.nio.file.Path;

/** RelayMeasureMain prints the relay's measures as tables. */
public final class RelayMeasureMain {
  private static final int EXIT_USAGE = 2;
  private static final int ARGUMENT_COUNT = 2;

  private RelayMeasureMain() {}

  /**
   * Runs one measurement.
   *
   * @param args {@code speed} or {@code connections}, then the operators' folder
   * @throws Exception if the processes can't be started
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
