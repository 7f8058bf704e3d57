package org.wigeonwharf.standin.restart;

import java.nio.file.Path;

/** RestartMain prints one table of rolling restarts, with and without idempotency keys. */
public final class RestartMain {
  private static final int EXIT_USAGE = 2;
  private static final int ARGUMENTS = 2;

  private RestartMain() {}

  /**
   * Runs the measurement on this machine's loopback.
   *
   * @param args the operators' folder, and the callers' pause before each retry in milliseconds
   * @throws Exception if a process can't be started
   */
  public static void main(String[] args) throws Exception {
    if (args.length != ARGUMENTS) {
      System.err.println("usage: CONFIG_FOLDER PAUSE_MILLIS");
      System.exit(EXIT_USAGE);
    }
    Path config = Path.of(args[0]);
    long pause = Long.parseLong(args[1]);
    System.out.println(RestartTally.head());
    print(config, pause, "stopped gracefully, with keys", true, true);
    print(config, pause, "stopped gracefully, without keys", false, true);
    print(config, pause, "killed, with keys", true, false);
    print(config, pause, "killed, without keys", false, false);
    System.exit(0);
  }

  private static void print(Path config, long pause, String title, boolean keyed, boolean graceful)
      throws Exception {
    try (RestartRun run = new RestartRun(config, pause)) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::close, "restart-end"));
      System.out.println(run.run(title, keyed, graceful));
    }
  }
}
