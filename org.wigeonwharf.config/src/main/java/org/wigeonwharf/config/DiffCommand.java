package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Compares two settings folders and marks the changes that lower a guarantee to callers. */
public final class DiffCommand {
  private @Nullable Path before;
  private @Nullable Path after;

  /**
   * A key whose effective value differs between the folders.
   *
   * @param key the key's path
   * @param before the old value, or null if it was unset
   * @param after the new value, or null if it is unset
   * @param lowered true if the change lowers a guarantee, such as a limit, slot count, share,
   *     weight or tier
   */
  public record Change(
      String key, @Nullable String before, @Nullable String after, boolean lowered) {}

  /**
   * Sets the older folder.
   *
   * @param before the operators' settings folder before the change
   * @return this command
   */
  public DiffCommand setBefore(Path before) {
    this.before = before;
    return this;
  }

  /**
   * Sets the newer folder.
   *
   * @param after the operators' settings folder after the change
   * @return this command
   */
  public DiffCommand setAfter(Path after) {
    this.after = after;
    return this;
  }

  /**
   * Compares the folders.
   *
   * @return the changes sorted by key, or the faults of either folder
   * @throws IllegalStateException if a folder is not set
   */
  public Either<List<Fault>, List<Change>> call() {
    if (before == null || after == null) {
      throw new IllegalStateException("both folders must be set");
    }
    Path older = before;
    Path newer = after;
    return read(older).flatMap(a -> read(newer).map(b -> compare(a, b)));
  }

  /** A settings folder, merged and validated. */
  private record CheckedFolder(MergedSettings merged, PublishedConfig config) {}

  private static Either<List<Fault>, CheckedFolder> read(Path folder) {
    return new SettingsFolder(folder)
        .read()
        .flatMap(
            files ->
                ConfigParser.parse(files)
                    .flatMap(c -> MergedSettings.merge(files).map(m -> new CheckedFolder(m, c))));
  }

  private static List<Change> compare(CheckedFolder older, CheckedFolder newer) {
    Map<String, Change> changes = new TreeMap<>();
    TreeSet<String> keys = new TreeSet<>(older.merged().keys());
    keys.addAll(newer.merged().keys());
    for (String key : keys) {
      String oldValue = effectiveValue(older.merged(), key);
      String newValue = effectiveValue(newer.merged(), key);
      if (!Objects.equals(oldValue, newValue)) {
        changes.put(key, new Change(key, oldValue, newValue, false));
      }
    }
    for (LoweredGuarantee g : GuaranteeComparison.lowered(older.config(), newer.config())) {
      changes.put(g.key(), new Change(g.key(), g.before(), g.after(), true));
    }
    return List.copyOf(changes.values());
  }

  private static @Nullable String effectiveValue(MergedSettings settings, String key) {
    List<MergedSettings.Setting> history = settings.history(key);
    return history.isEmpty() ? null : history.get(history.size() - 1).value();
  }
}
