package org.wigeonwharf.ctl;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonwharf.config.CheckCommand;
import org.wigeonwharf.config.DiffCommand;
import org.wigeonwharf.config.ExplainCommand;
import org.wigeonwharf.config.Fault;
import org.wigeonwharf.config.MergedSettings;
import org.wigeonwharf.config.PublishedConfig;

/** Implements the commands that read settings folders. */
final class FolderCommands {
  private FolderCommands() {}

  static int check(String folder, Report report) {
    Either<List<Fault>, PublishedConfig> result =
        new CheckCommand().setFolder(Path.of(folder)).call();
    return result.fold(report::printFaults, c -> printAccepted(c, report));
  }

  private static int printAccepted(PublishedConfig c, Report report) {
    Map<String, Object> value = new LinkedHashMap<>();
    value.put("ok", true);
    value.put("tiers", c.tiers().size());
    value.put("classes", c.classes().size());
    value.put("services", c.services().size());
    value.put("accounts", c.accounts().size());
    String line =
        "accepted: %d tiers, %d classes, %d services, %d client accounts"
            .formatted(
                c.tiers().size(), c.classes().size(), c.services().size(), c.accounts().size());
    return report.printResult(List.of(line), value);
  }

  static int explain(String folder, String key, Report report) {
    return new ExplainCommand()
        .setFolder(Path.of(folder))
        .setKey(key)
        .call()
        .fold(report::printFaults, history -> printHistory(key, history, report));
  }

  private static int printHistory(String key, List<MergedSettings.Setting> history, Report report) {
    if (history.isEmpty()) {
      return report.printFaults(List.of(new Fault("-", key, "is set by no file")));
    }
    int last = history.size() - 1;
    List<String> lines = new ArrayList<>();
    lines.add(key + " = " + history.get(last).value() + "  from " + history.get(last).file());
    for (int i = last - 1; i >= 0; i--) {
      lines.add("  overrides " + history.get(i).value() + "  from " + history.get(i).file());
    }
    List<Map<String, String>> value = new ArrayList<>();
    history.forEach(s -> value.add(Map.of("file", s.file(), "value", s.value())));
    return report.printResult(lines, Map.of("key", key, "settings", value));
  }

  static int diff(String before, String after, Report report) {
    return new DiffCommand()
        .setBefore(Path.of(before))
        .setAfter(Path.of(after))
        .call()
        .fold(report::printFaults, changes -> printChanges(changes, report));
  }

  private static int printChanges(List<DiffCommand.Change> changes, Report report) {
    List<String> lines = new ArrayList<>();
    List<Map<String, Object>> value = new ArrayList<>();
    for (DiffCommand.Change c : changes) {
      lines.add(
          "%s%s: %s -> %s"
              .formatted(c.lowered() ? "LOWERED " : "", c.key(), c.before(), c.after()));
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("key", c.key());
      row.put("before", c.before());
      row.put("after", c.after());
      row.put("lowered", c.lowered());
      value.add(row);
    }
    return report.printResult(lines, Map.of("changes", value));
  }
}
