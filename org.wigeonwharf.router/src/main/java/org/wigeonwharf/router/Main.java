package org.wigeonwharf.router;

import ch.qos.logback.classic.LoggerContext;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.MergedSettings;
import org.wigeonwharf.gateway.Gateway;
import org.wigeonwharf.gateway.GatewaySettings;
import org.wigeonwharf.model.Lifecycle;
import org.wigeonwharf.router.internal.SettingsWatcher;

/** Runs the wigeonwharf program from the command line. */
public final class Main {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final Logger LOG = LoggerFactory.getLogger(Main.class);

  private Main() {}

  /**
   * Runs a router or gateway until the process receives a termination signal.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    Options options = options();
    CommandLine commandLine;
    try {
      commandLine = new DefaultParser().parse(options, args);
    } catch (ParseException e) {
      err.println("wigeonwharf: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (commandLine.hasOption("help")) {
      return printHelp(options, out);
    }
    if (commandLine.hasOption("version")) {
      out.println("wigeonwharf " + version());
      return EXIT_OK;
    }
    String file = commandLine.getOptionValue("settings");
    if (file == null || !commandLine.getArgList().isEmpty()) {
      err.println("wigeonwharf: --settings FILE is required; see --help");
      return EXIT_USAGE;
    }
    return runProcess(Path.of(file), err);
  }

  private static Options options() {
    return new Options()
        .addOption(
            Option.builder()
                .longOpt("settings")
                .hasArg()
                .argName("FILE")
                .desc("process settings (TOML)")
                .get())
        .addOption(Option.builder().longOpt("help").desc("print this help").get())
        .addOption(Option.builder().longOpt("version").desc("print the version").get());
  }

  private static int printHelp(Options options, PrintStream out) {
    try {
      StringBuilder text = new StringBuilder();
      var formatter =
          HelpFormatter.builder()
              .setShowSince(false)
              .setHelpAppendable(new TextHelpAppendable(text))
              .get();
      formatter.printHelp("wigeonwharf --settings FILE", "Runs one router.", options, "", false);
      out.print(text);
      return EXIT_OK;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String version() {
    @Nullable String v = Main.class.getPackage().getImplementationVersion();
    return v == null ? "development" : v;
  }

  private static int runProcess(Path file, PrintStream err) {
    Either<List<Fault>, Lifecycle> process =
        RouterSettings.load(file)
            .flatMap(
                merged ->
                    GatewaySettingsReader.isGatewaySettings(merged)
                        ? checkGateway(merged).map(Main::createGateway)
                        : RouterSettings.check(merged).map(Main::createRouter));
    if (process.isLeft()) {
      process.getLeft().forEach(f -> err.println(f));
      return EXIT_FAILURE;
    }
    SettingsWatcher watcher = new SettingsWatcher(file, f -> reload(f, process.get()));
    watcher.start();
    return runUntilStopped(process.get(), err);
  }

  private static Either<List<Fault>, GatewaySettings> checkGateway(MergedSettings merged) {
    return GatewaySettingsReader.check(
        merged, System.getenv(GatewaySettingsReader.REGIONS_VARIABLE));
  }

  private static void reload(Path file, Lifecycle process) {
    if (!(process instanceof Gateway gateway)) {
      LOG.atWarn()
          .addKeyValue("event", "settings.ignored")
          .log("settings file changed; restart the process to apply it");
      return;
    }
    Either<List<Fault>, GatewaySettings> settings =
        RouterSettings.load(file).flatMap(Main::checkGateway);
    if (settings.isLeft()) {
      LOG.atError()
          .addKeyValue("event", "settings.refused")
          .addKeyValue("faults", settings.getLeft().toString())
          .log("changed settings are invalid; keeping the current settings");
      return;
    }
    gateway.reload(settings.get());
  }

  private static Lifecycle createRouter(RouterSettings settings) {
    return DaggerRouterComponent.factory().create(settings).router();
  }

  private static Lifecycle createGateway(GatewaySettings settings) {
    return DaggerGatewayComponent.factory().create(settings).gateway();
  }

  private static int runUntilStopped(Lifecycle process, PrintStream err) {
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicBoolean failed = new AtomicBoolean();
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> stop(process, stopped, failed), "shutdown"));
    try {
      process.start();
      stopped.await();
      return EXIT_OK;
    } catch (Exception e) {
      failed.set(true);
      LOG.atError().setCause(e).addKeyValue("event", "router.start.failed").log("start failed");
      err.println("wigeonwharf: can't start: " + e.getMessage());
      flushLog();
      return EXIT_FAILURE;
    }
  }

  private static void stop(Lifecycle process, CountDownLatch stopped, AtomicBoolean failed) {
    process.stop();
    flushLog();
    stopped.countDown();
    if (!failed.get()) {
      // The JVM would exit with the number of the signal, which supervisors take for a failure.
      Runtime.getRuntime().halt(EXIT_OK);
    }
  }

  /** Flushes the queued log lines, which a separate thread writes. */
  private static void flushLog() {
    if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
      context.stop();
    }
  }
}
