package org.wigeonwharf.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.config.Fault;

/** Prints results as text lines or as JSON. */
final class Report {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final PrintStream out;
  private final PrintStream err;
  private final boolean json;

  Report(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  /** Prints faults and returns the exit code for a failure. */
  int printFaults(List<Fault> faults) {
    if (json) {
      printJson(Map.of("ok", false, "faults", faultRows(faults)));
    } else {
      faults.forEach(f -> err.println(f));
    }
    return Main.EXIT_FAILURE;
  }

  /** Prints a partial result and its faults; returns the failure exit code if there are any. */
  int printPartialResult(List<String> lines, String name, Object value, List<Fault> faults) {
    if (json) {
      printJson(Map.of("ok", faults.isEmpty(), name, value, "faults", faultRows(faults)));
    } else {
      lines.forEach(out::println);
      faults.forEach(f -> err.println(f));
    }
    return faults.isEmpty() ? Main.EXIT_OK : Main.EXIT_FAILURE;
  }

  private static List<Map<String, String>> faultRows(List<Fault> faults) {
    return faults.stream()
        .map(f -> Map.of("file", f.file(), "place", f.place(), "reason", f.reason()))
        .toList();
  }

  /** Prints the lines, or the value in JSON mode, and returns the exit code for success. */
  int printResult(List<String> lines, Object value) {
    if (json) {
      printJson(value);
    } else {
      lines.forEach(out::println);
    }
    return Main.EXIT_OK;
  }

  private void printJson(Object value) {
    try {
      out.println(JSON.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the result cannot be written as JSON", e);
    }
  }
}
