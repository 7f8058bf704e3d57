package org.wigeonwharf.standin.fleet;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** DemoMain starts the demo's processes and, on request, walks through its steps. */
public final class DemoMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final int ARGUMENT_COUNT = 2;

  private DemoMain() {}

  /**
   * Runs the demo.
   *
   * @param args {@code start} or {@code run}, then the demo's folder
   * @throws Exception if a process can't be started
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
      System.out.println("started; addresses are in demo/out/addresses.json; end with Ctrl-C");
      new CountDownLatch(1).await();
    }
  }
}
