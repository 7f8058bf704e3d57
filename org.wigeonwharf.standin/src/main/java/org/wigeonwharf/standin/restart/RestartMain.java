package org.wigeonwharf.standin.restart;

import java.nio.file.Path;

/** RestartMain prints one table of rolling restarts, with and without idempotency keys. */
public final class RestartMain {
  private static final int EXIT_USAGE = 2;

  private RestartMain() {}

  /**
   * Runs the measurement on this machine's loopback.
   *
   * @param args the operators' folder
   * @throws Exception if a process can't be started
   */
  public static void main(String[] args) throws Exception {
    if (args.length != 1) {
      System.err.println("usage: CONFIG_FOLDER");
      System.exit(EXIT_USAGE);
    }
    Path config = Path.of(args[0]);
    System.out.println(RestartTally.head());
    print(config, "stopped gracefully, with keys", true, true);
    print(config, "stopped gracefully, without keys", false, true);
    print(config, "killed, with keys", true, false);
    print(config, "killed, without keys", false, false);
    System.exit(0);
  }

  private static void print(Path config, String title, boolean keyed, boolean graceful)
      throws Exception {
    try (RestartRun run = new RestartRun(config)) {
      System.out.println(run.run(title, keyed, graceful));
    }
  }
}
