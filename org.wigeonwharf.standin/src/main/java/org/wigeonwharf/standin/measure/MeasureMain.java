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
 * MeasureMain prints the measures of the brief, the policy beside the naive version.
 *
 * <p>Without {@code --seed} it uses the reporting seeds; {@code --tuning} selects the tuning seeds.
 * The same seeds print the same bytes.
 */
public final class MeasureMain {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final long FIRST_REPORTING_SEED = 1_001;
  private static final long FIRST_TUNING_SEED = 1;
  private static final int SEEDS = 10;

  private final PrintStream out;
  private final PublishedConfig config;
  private final Workload workload;
  private final List<Long> seeds;
  private final PolicyOptions options;

  private record Pair(List<RunResult> policy, List<RunResult> naive) {}

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
   * Runs the measurement.
   *
   * @param args {@code --config DIR [--seed N | --tuning] [--user authority|liitto] [--without
   *     PART]}
   */
  public static void main(String[] args) {
    System.exit(run(args, System.out, System.err));
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    try {
      CommandLine line = new DefaultParser().parse(options(), args);
      Path folder = Path.of(line.getOptionValue("config", "measure"));
      for (Workload w : workloads(line.getOptionValue("user", ""))) {
        Either<List<Fault>, PublishedConfig> config =
            new CheckCommand().setFolder(folder.resolve(w.user())).call();
        if (config.isLeft()) {
          config.getLeft().forEach(f -> err.println(f));
          return EXIT_FAILURE;
        }
        new MeasureMain(out, config.get(), w, seeds(line), policy(line)).report();
      }
      return EXIT_OK;
    } catch (ParseException | NumberFormatException e) {
      err.println("measure: " + e.getMessage());
      return EXIT_USAGE;
    }
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder().longOpt("config").hasArg().desc("folder").get())
        .addOption(Option.builder().longOpt("seed").hasArg().desc("one seed").get())
        .addOption(Option.builder().longOpt("tuning").desc("the tuning seeds").get())
        .addOption(Option.builder().longOpt("without").hasArg().desc("a part of the policy").get())
        .addOption(Option.builder().longOpt("user").hasArg().desc("authority or liitto").get());
  }

  private static PolicyOptions policy(CommandLine line) throws ParseException {
    String part = line.getOptionValue("without", "");
    return PolicyParts.without(part)
        .orElseThrow(() -> new ParseException("no part of the policy is named " + part));
  }

  private static List<Workload> workloads(String user) throws ParseException {
    List<Workload> all = List.of(Workload.authority(), Workload.liitto());
    List<Workload> chosen =
        all.stream().filter(w -> user.isEmpty() || w.user().equals(user)).toList();
    if (chosen.isEmpty()) {
      throw new ParseException("no user is named " + user);
    }
    return chosen;
  }

  private static List<Long> seeds(CommandLine line) {
    if (line.hasOption("seed")) {
      return List.of(Long.parseLong(line.getOptionValue("seed")));
    }
    long first = line.hasOption("tuning") ? FIRST_TUNING_SEED : FIRST_REPORTING_SEED;
    List<Long> seeds = new ArrayList<>();
    for (int i = 0; i < SEEDS; i++) {
      seeds.add(first + i);
    }
    return seeds;
  }

  private void report() {
    out.printf(
        "## %s, seeds %d to %d%n%n", workload.user(), seeds.get(0), seeds.get(seeds.size() - 1));
    out.println("| scenario | class | measure | policy mean [min..max] | naive mean [min..max] |");
    out.println("| --- | --- | --- | --- | --- |");
    for (Scenario s : List.of(Scenario.STEADY, Scenario.CREST, Scenario.STRAGGLERS)) {
      Pair pair =
          new Pair(
              runAll(s, (t, f) -> new SchedulerDispatcher(t, f, options)),
              runAll(s, (t, f) -> new NaiveDispatcher(f)));
      workload.classes().forEach(c -> classRows(s, c.name(), pair));
      row(s, "all", "wasted work %", pair, RunResult::wasted);
    }
    out.println();
  }

  private List<RunResult> runAll(Scenario s, BiFunction<VirtualTime, Fleet, Dispatcher> kind) {
    return seeds.parallelStream()
        .map(seed -> new Run(workload, s, config, seed, kind).run())
        .toList();
  }

  private void classRows(Scenario s, String c, Pair pair) {
    row(s, c, "first token in target %", pair, r -> r.firstTokenAttainment(c));
    if (s == Scenario.CREST) {
      row(s, c, "same, arrived in crest %", pair, r -> r.crestAttainment(c));
    }
    row(s, c, "token gap in target %", pair, r -> r.tokenGapAttainment(c));
    row(s, c, "answered whole %", pair, r -> r.finished(c));
    row(s, c, "goodput tokens/s", pair, r -> r.goodput(c));
    row(s, c, "first token p99 ms", pair, r -> r.firstTokenP99(c));
    row(s, c, "wait behind long work p95 ms", pair, r -> r.waitBehindLongP95(c));
  }

  private void row(
      Scenario s, String c, String measure, Pair pair, ToDoubleFunction<RunResult> value) {
    out.printf(
        "| %s | %s | %s | %s | %s |%n",
        s.name(), c, measure, spread(pair.policy(), value), spread(pair.naive(), value));
  }

  private static String spread(List<RunResult> results, ToDoubleFunction<RunResult> value) {
    var s = results.stream().mapToDouble(value).summaryStatistics();
    return "%.1f [%.1f..%.1f]".formatted(s.getAverage(), s.getMin(), s.getMax());
  }
}
