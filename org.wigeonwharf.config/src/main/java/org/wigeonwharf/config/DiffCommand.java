package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * A DiffCommand lists what differs between two settings folders and which changes lower a promise.
 */
public final class DiffCommand {
  private @Nullable Path before;
  private @Nullable Path after;

  /**
   * A Change is one key whose value in force differs.
   *
   * @param key the path
   * @param before the old value, or null if it was unset
   * @param after the new value, or null if it is unset now
   * @param lowered true if a limit, slot count, share, weight or tier promise falls back
   */
  public record Change(
      String key, @Nullable String before, @Nullable String after, boolean lowered) {}

  /**
   * Sets the older folder.
   *
   * @param before the operators' folder as it was
   * @return this command
   */
  public DiffCommand setBefore(Path before) {
    this.before = before;
    return this;
  }

  /**
   * Sets the newer folder.
   *
   * @param after the operators' folder as it is to be
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
   * @throws IllegalStateException if a folder was not set
   */
  public Either<List<Fault>, List<Change>> call() {
    if (before == null || after == null) {
      throw new IllegalStateException("both folders must be set");
    }
    Either<List<Fault>, MergedSettings> a =
        new SettingsFolder(before).read().flatMap(MergedSettings::merge);
    Either<List<Fault>, MergedSettings> b =
        new SettingsFolder(after).read().flatMap(MergedSettings::merge);
    return a.flatMap(x -> b.map(y -> compare(x, y)));
  }

  /**
   * Compares two merges.
   *
   * @param a the older one
   * @param b the newer one
   * @return the changes sorted by key
   */
  public static List<Change> compare(MergedSettings a, MergedSettings b) {
    TreeSet<String> keys = new TreeSet<>(a.keys());
    keys.addAll(b.keys());
    List<Change> changes = new ArrayList<>();
    for (String key : keys) {
      String x = inForce(a, key);
      String y = inForce(b, key);
      if (x == null ? y != null : !x.equals(y)) {
        changes.add(new Change(key, x, y, LoweredPromise.isLowered(key, x, y)));
      }
    }
    return changes;
  }

  private static @Nullable String inForce(MergedSettings settings, String key) {
    List<MergedSettings.Setting> history = settings.history(key);
    return history.isEmpty() ? null : history.get(history.size() - 1).value();
  }
}
