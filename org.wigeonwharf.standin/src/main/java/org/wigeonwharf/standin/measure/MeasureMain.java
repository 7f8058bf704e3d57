package org.wigeonwharf.standin.measure;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.ToDoubleFunction;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.wigeonwharf.config.CheckCommand;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.schedule.PolicyOptions;

/**
 * Compares the scheduling policy with a naive round-robin baseline in virtual time and prints a
 * table of the results.
 *
 * <p>Without {@code --seed} it uses the reporting seeds; {@code --tuning} selects the tuning seeds,
 * which are disjoint from them. The output is deterministic: the same seeds print the same bytes.
 */
public final class MeasureMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final long FIRST_REPORTING_SEED = 1_001;
  private static final long FIRST_TUNING_SEED = 1;
  private static final int SEED_COUNT = 10;

  private final PrintStream out;
  private final PublishedConfig config;
  private final Workload workload;
  private final List<Long> seeds;
  private final PolicyOptions options;

  private record Comparison(List<RunResult> policy, List<RunResult> naive) {}

  private MeasureMain(
      PrintStream out,
      PublishedConfig config,
      Workload workload,
      List<Long> seeds,
      PolicyOptions options) {
    this.out = out;
    this.config = config;
    this.workload = workload;
    this.seeds = seeds;
    this.options = options;
  }

  /**
   * Runs the measurement and exits.
   *
   * @param args {@code --config DIR [--seed N | --tuning] [--user authority|liitto] [--without
   *     PART]}
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    try {
      CommandLine line = new DefaultParser().parse(commandLineOptions(), args);
      Path folder = Path.of(line.getOptionValue("config", "measure"));
      for (Workload w : selectWorkloads(line.getOptionValue("user", ""))) {
        Either<List<Fault>, PublishedConfig> config =
            new CheckCommand().setFolder(folder.resolve(w.user())).call();
        if (config.isLeft()) {
          config.getLeft().forEach(f -> err.println(f));
          return EXIT_FAILURE;
        }
        new MeasureMain(out, config.get(), w, parseSeeds(line), policyOptions(line)).printReport();
      }
      return EXIT_OK;
    } catch (ParseException | NumberFormatException e) {
      err.println("measure: " + e.getMessage());
      return EXIT_USAGE;
    }
  }

  private static Options commandLineOptions() {
    return new Options()
        .addOption(Option.builder().longOpt("config").hasArg().desc("folder").get())
        .addOption(Option.builder().longOpt("seed").hasArg().desc("one seed").get())
        .addOption(Option.builder().longOpt("tuning").desc("the tuning seeds").get())
        .addOption(Option.builder().longOpt("without").hasArg().desc("a part of the policy").get())
        .addOption(Option.builder().longOpt("user").hasArg().desc("authority or liitto").get());
  }

  private static PolicyOptions policyOptions(CommandLine line) throws ParseException {
    String part = line.getOptionValue("without", "");
    return PolicyParts.without(part)
        .orElseThrow(() -> new ParseException("unknown part of the policy: " + part));
  }

  private static List<Workload> selectWorkloads(String user) throws ParseException {
    List<Workload> all = List.of(Workload.authority(), Workload.liitto());
    List<Workload> chosen =
        all.stream().filter(w -> user.isEmpty() || w.user().equals(user)).toList();
    if (chosen.isEmpty()) {
      throw new ParseException("unknown user: " + user);
    }
    return chosen;
  }

  private static List<Long> parseSeeds(CommandLine line) {
    if (line.hasOption("seed")) {
      return List.of(Long.parseLong(line.getOptionValue("seed")));
    }
    long first = line.hasOption("tuning") ? FIRST_TUNING_SEED : FIRST_REPORTING_SEED;
    List<Long> seeds = new ArrayList<>();
    for (int i = 0; i < SEED_COUNT; i++) {
      seeds.add(first + i);
    }
    return seeds;
  }

  private void printReport() {
    out.printf(
        "## %s, seeds %d to %d%n%n", workload.user(), seeds.get(0), seeds.get(seeds.size() - 1));
    out.println("| scenario | class | measure | policy mean [min..max] | naive mean [min..max] |");
    out.println("| --- | --- | --- | --- | --- |");
    for (Scenario s : List.of(Scenario.STEADY, Scenario.CREST, Scenario.STRAGGLERS)) {
      Comparison comparison =
          new Comparison(
              runAll(s, (t, f) -> new SchedulerDispatcher(t, f, options)),
              runAll(s, (t, f) -> new NaiveDispatcher(f)));
      workload.classes().forEach(c -> printClassRows(s, c.name(), comparison));
      printRow(s, "all", "wasted work %", comparison, RunResult::wastedWorkPercent);
    }
    out.println();
  }

  private List<RunResult> runAll(
      Scenario s, BiFunction<VirtualTime, Fleet, Dispatcher> dispatcherFactory) {
    return seeds.parallelStream()
        .map(seed -> new Run(workload, s, config, seed, dispatcherFactory).run())
        .toList();
  }

  private void printClassRows(Scenario s, String className, Comparison comparison) {
    printRow(
        s,
        className,
        "first token in target %",
        comparison,
        r -> r.firstTokenAttainment(className));
    if (s == Scenario.CREST) {
      printRow(
          s,
          className,
          "same, arrived in crest %",
          comparison,
          r -> r.crestFirstTokenAttainment(className));
    }
    printRow(
        s, className, "token gap in target %", comparison, r -> r.tokenGapAttainment(className));
    printRow(s, className, "answered whole %", comparison, r -> r.finishedPercent(className));
    printRow(s, className, "goodput tokens/s", comparison, r -> r.goodput(className));
    printRow(s, className, "first token p99 ms", comparison, r -> r.firstTokenP99Millis(className));
    printRow(
        s,
        className,
        "wait behind long work p95 ms",
        comparison,
        r -> r.waitBehindLongOutputP95Millis(className));
  }

  private void printRow(
      Scenario s,
      String className,
      String measure,
      Comparison comparison,
      ToDoubleFunction<RunResult> value) {
    out.printf(
        "| %s | %s | %s | %s | %s |%n",
        s.name(),
        className,
        measure,
        formatSpread(comparison.policy(), value),
        formatSpread(comparison.naive(), value));
  }

  private static String formatSpread(List<RunResult> results, ToDoubleFunction<RunResult> value) {
    var s = results.stream().mapToDouble(value).summaryStatistics();
    return "%.1f [%.1f..%.1f]".formatted(s.getAverage(), s.getMin(), s.getMax());
  }
}
