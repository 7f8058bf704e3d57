package org.wigeonwharf.standin;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.config.SettingsFolder;
import org.wigeonwharf.model.Addresses;

/** Runs one stand-in as a separate process. */
public final class StandInMain {
  private static final Logger LOG = LoggerFactory.getLogger(StandInMain.class);
  private static final int EXIT_USAGE = 2;
  private static final String DEFAULT_SLOTS = "4";
  private static final String DEFAULT_TOKEN_MILLIS = "20";

  private StandInMain() {}

  /**
   * Starts the stand-in and runs until the process is terminated.
   *
   * @param args {@code platform}, {@code engine} or {@code booking}, and options
   * @throws Exception if the stand-in can't start
   */
  public static void main(String[] args) throws Exception {
    try {
      CommandLine commandLine = new DefaultParser().parse(options(), args);
      StandInServer server = create(commandLine);
      server.start();
      LOG.atInfo()
          .addKeyValue("event", "standin.started")
          .addKeyValue("kind", commandLine.getArgs()[0])
          .addKeyValue("address", Addresses.format(server.address()))
          .log("stand-in started");
      new CountDownLatch(1).await();
    } catch (ParseException e) {
      System.err.println("standin: " + e.getMessage());
      System.exit(EXIT_USAGE);
    }
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder().longOpt("listen").hasArg().desc("IP:PORT").get())
        .addOption(
            Option.builder()
                .longOpt("folder")
                .hasArg()
                .desc("configuration folder to publish at the start")
                .get())
        .addOption(Option.builder().longOpt("slots").hasArg().desc("batch size").get())
        .addOption(
            Option.builder()
                .longOpt("token-ms")
                .hasArg()
                .desc("milliseconds between tokens")
                .get());
  }

  private static StandInServer create(CommandLine commandLine) throws ParseException {
    InetSocketAddress listen = Addresses.parse(commandLine.getOptionValue("listen", "127.0.0.1:0"));
    String kind = commandLine.getArgs().length == 1 ? commandLine.getArgs()[0] : "";
    return switch (kind) {
      case "platform" -> createPlatform(commandLine, listen);
      case "engine" ->
          new EngineStandIn(
              listen,
              Integer.parseInt(commandLine.getOptionValue("slots", DEFAULT_SLOTS)),
              Long.parseLong(commandLine.getOptionValue("token-ms", DEFAULT_TOKEN_MILLIS)));
      case "booking" -> new BookingStandIn(listen);
      default -> throw new ParseException("expected platform, engine or booking");
    };
  }

  private static PlatformStandIn createPlatform(CommandLine commandLine, InetSocketAddress listen)
      throws ParseException {
    PlatformStandIn platform = new PlatformStandIn(listen);
    String folder = commandLine.getOptionValue("folder");
    if (folder != null) {
      Either<List<Fault>, List<SettingsFile>> files = new SettingsFolder(Path.of(folder)).read();
      if (files.isLeft()) {
        throw new ParseException(files.getLeft().toString());
      }
      platform.publish(files.get());
    }
    return platform;
  }
}
