package org.wigeonwharf.standin.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Measures how long callers wait after the scheduler's process is killed, frozen or resumed. */
public final class FailoverMain {
  private static final int ARGUMENT_COUNT = 2;
  private static final int EXIT_USAGE = 2;
  private static final long FAULT_INTERVAL_MILLIS = 1_000;

  private FailoverMain() {}

  /**
   * Prints the time from each fault to the first answer, for all trials.
   *
   * @param args folder of the operators' settings files, then the number of trials, each with a new
   *     fleet
   * @throws Exception if a process can't be started or callers get no successful response
   */
  public static void main(String[] args) throws Exception {
    if (args.length != ARGUMENT_COUNT) {
      System.err.println("usage: CONFIG_FOLDER TRIALS");
      System.exit(EXIT_USAGE);
    }
    List<FailoverTrial.Result> killed = new ArrayList<>();
    List<FailoverTrial.Result> frozen = new ArrayList<>();
    List<FailoverTrial.Result> woken = new ArrayList<>();
    for (int i = 0; i < Integer.parseInt(args[1]); i++) {
      try (FailoverTrial trial = new FailoverTrial(Path.of(args[0]))) {
        killed.add(trial.killScheduler());
        TimeUnit.MILLISECONDS.sleep(FAULT_INTERVAL_MILLIS);
        String scheduler = trial.scheduler();
        frozen.add(trial.freezeScheduler());
        TimeUnit.MILLISECONDS.sleep(FAULT_INTERVAL_MILLIS);
        woken.add(trial.thawRouter(scheduler));
      }
    }
    print("killed", killed);
    print("frozen", frozen);
    print("woken", woken);
    System.exit(0);
  }

  private static void print(String fault, List<FailoverTrial.Result> results) {
    List<Long> times =
        new ArrayList<>(results.stream().map(FailoverTrial.Result::firstAnswerMillis).toList());
    Collections.sort(times);
    int answered = results.stream().mapToInt(FailoverTrial.Result::answered).sum();
    int refused = results.stream().mapToInt(FailoverTrial.Result::refused).sum();
    System.out.printf(
        "%-8s first answer min %d ms, median %d ms, max %d ms; %d answered, %d refused; all %s%n",
        fault,
        times.get(0),
        times.get(times.size() / 2),
        times.get(times.size() - 1),
        answered,
        refused,
        times);
  }
}
