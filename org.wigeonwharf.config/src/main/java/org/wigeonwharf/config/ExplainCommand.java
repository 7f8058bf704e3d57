package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Finds which settings file set a value and which files it overrides. */
public final class ExplainCommand {
  private @Nullable Path folder;
  private @Nullable String key;

  /**
   * Sets the folder.
   *
   * @param folder the operators' settings folder
   * @return this command
   */
  public ExplainCommand setFolder(Path folder) {
    this.folder = folder;
    return this;
  }

  /**
   * Sets the key to explain.
   *
   * @param key the key's path as {@link SettingsKey} writes it
   * @return this command
   */
  public ExplainCommand setKey(String key) {
    this.key = key;
    return this;
  }

  /**
   * Merges the folder and looks up the key.
   *
   * @return the values in merge order, of which the last is in force (empty for an unset key), or
   *     the faults that prevent the merge
   * @throws IllegalStateException if the folder or key is not set
   */
  public Either<List<Fault>, List<MergedSettings.Setting>> call() {
    if (folder == null || key == null) {
      throw new IllegalStateException("folder and key must be set");
    }
    String k = key;
    return new SettingsFolder(folder).read().flatMap(MergedSettings::merge).map(m -> m.history(k));
  }
}
