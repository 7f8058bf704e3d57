package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** An ExplainCommand tells which file set a value and which files it overrode. */
public final class ExplainCommand {
  private @Nullable Path folder;
  private @Nullable String key;

  /**
   * Sets the folder.
   *
   * @param folder the operators' folder
   * @return this command
   */
  public ExplainCommand setFolder(Path folder) {
    this.folder = folder;
    return this;
  }

  /**
   * Sets the key to explain.
   *
   * @param key the path, parts joined by dots
   * @return this command
   */
  public ExplainCommand setKey(String key) {
    this.key = key;
    return this;
  }

  /**
   * Merges the folder and looks the key up.
   *
   * @return the values in merge order, the last one in force (empty for an unset key), or the
   *     faults that keep the folder from being merged
   * @throws IllegalStateException if the folder or key was not set
   */
  public Either<List<Fault>, List<MergedSettings.Setting>> call() {
    if (folder == null || key == null) {
      throw new IllegalStateException("folder and key must be set");
    }
    String k = key;
    return new SettingsFolder(folder).read().flatMap(MergedSettings::merge).map(m -> m.history(k));
  }
}
