package org.wigeonwharf.standin.restart;

import java.nio.file.Path;

/** Prints what callers see of rolling restarts, with and without idempotency keys, as a table. */
public final class RestartMain {
  private static final int EXIT_USAGE = 2;
  private static final int ARGUMENT_COUNT = 2;

  private RestartMain() {}

  /**
   * Runs the measurement with processes on loopback.
   *
   * @param args folder of the operators' settings files, then the callers' delay before each retry,
   *     in milliseconds
   * @throws Exception if a process can't be started or doesn't stop in time
   */
  public static void main(String[] args) throws Exception {
    if (args.length != ARGUMENT_COUNT) {
      System.err.println("usage: CONFIG_FOLDER RETRY_DELAY_MILLIS");
      System.exit(EXIT_USAGE);
    }
    Path config = Path.of(args[0]);
    long retryDelayMillis = Long.parseLong(args[1]);
    System.out.println(RestartResults.tableHeader());
    measure(config, retryDelayMillis, "stopped gracefully, with keys", true, true);
    measure(config, retryDelayMillis, "stopped gracefully, without keys", false, true);
    measure(config, retryDelayMillis, "killed, with keys", true, false);
    measure(config, retryDelayMillis, "killed, without keys", false, false);
    System.exit(0);
  }

  private static void measure(
      Path config, long retryDelayMillis, String title, boolean keyed, boolean graceful)
      throws Exception {
    try (RestartRun run = new RestartRun(config, retryDelayMillis)) {
      Runtime.getRuntime().addShutdownHook(new Thread(run::close, "restart-end"));
      System.out.println(run.run(title, keyed, graceful));
    }
  }
}
