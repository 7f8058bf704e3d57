package org.wigeonwharf.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Runs the wigeonctl program from the command line. */
public final class Main {
  static final int EXIT_OK = 0;
  static final int EXIT_FAILURE = 1;
  static final int EXIT_USAGE = 2;

  private static final String SYNTAX =
      "wigeonctl [--json] check DIR | explain DIR KEY | diff OLD NEW | dump ADDR | status ADDR...";

  private Main() {}

  /**
   * Runs one command and exits with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  /**
   * Runs one command.
   *
   * @param args the command line
   * @param out receives results
   * @param err receives faults and usage errors
   * @return the exit code: 0 for success, 1 for a failure, 2 for wrong usage
   */
  public static int run(String[] args, PrintStream out, PrintStream err) {
    CommandLine commandLine;
    try {
      commandLine = new DefaultParser().parse(options(), args);
    } catch (ParseException e) {
      err.println("wigeonctl: " + e.getMessage());
      return EXIT_USAGE;
    }
    if (commandLine.hasOption("help")) {
      return printHelp(out);
    }
    if (commandLine.hasOption("version")) {
      String v = Main.class.getPackage().getImplementationVersion();
      out.println("wigeonctl " + (v == null ? "development" : v));
      return EXIT_OK;
    }
    return runCommand(
        commandLine.getArgList(), new Report(out, err, commandLine.hasOption("json")), err);
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder().longOpt("json").desc("print JSON for programs").get())
        .addOption(Option.builder().longOpt("help").desc("print this help").get())
        .addOption(Option.builder().longOpt("version").desc("print the version").get());
  }

  private static int printHelp(PrintStream out) {
    try {
      StringBuilder text = new StringBuilder();
      HelpFormatter.builder()
          .setShowSince(false)
          .setHelpAppendable(new TextHelpAppendable(text))
          .get()
          .printHelp(SYNTAX, "Checks settings folders, shows routers.", options(), "", false);
      out.print(text);
      return EXIT_OK;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static int runCommand(List<String> args, Report report, PrintStream err) {
    String command = args.isEmpty() ? "" : args.get(0);
    int operands = args.size() - 1;
    if (command.equals("check") && operands == 1) {
      return FolderCommands.check(args.get(1), report);
    }
    if (command.equals("explain") && operands == 2) {
      return FolderCommands.explain(args.get(1), args.get(2), report);
    }
    if (command.equals("diff") && operands == 2) {
      return FolderCommands.diff(args.get(1), args.get(2), report);
    }
    if (command.equals("dump") && operands == 1) {
      return RouterCommands.dump(args.get(1), report);
    }
    if (command.equals("status") && operands >= 1) {
      return RouterCommands.status(args.subList(1, args.size()), report);
    }
    err.println("usage: " + SYNTAX);
    return EXIT_USAGE;
  }
}
