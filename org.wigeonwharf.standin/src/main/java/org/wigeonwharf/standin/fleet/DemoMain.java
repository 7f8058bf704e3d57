package org.wigeonwharf.standin.fleet;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** Starts the demo's processes and, on request, runs its steps. */
public final class DemoMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final int ARGUMENT_COUNT = 2;

  private DemoMain() {}

  /**
   * Runs the demo.
   *
   * @param args {@code start} to keep the processes running or {@code run} to run the steps and
   *     exit, then the demo's folder
   * @throws Exception if a process can't be started or a step can't be run
   */
  public static void main(String[] args) throws Exception {
    if (args.length != ARGUMENT_COUNT) {
      System.err.println("usage: start|run DEMO_FOLDER");
      System.exit(EXIT_USAGE);
    }
    Path folder = Path.of(args[1]);
    try (DemoFleet demo = new DemoFleet(folder.resolve("config"))) {
      Runtime.getRuntime().addShutdownHook(new Thread(demo::close, "demo-end"));
      demo.writeAddresses(folder.resolve("out").resolve("addresses.json"));
      if (args[0].equals("run")) {
        boolean ok = new DemoSteps(demo).run(System.out);
        System.exit(ok ? EXIT_OK : EXIT_FAILURE);
      }
      System.out.println("started; addresses are in demo/out/addresses.json; press Ctrl-C to stop");
      new CountDownLatch(1).await();
    }
  }
}
