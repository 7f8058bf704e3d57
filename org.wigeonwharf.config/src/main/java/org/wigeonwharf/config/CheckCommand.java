package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Checks whether a router would accept a settings folder. */
public final class CheckCommand {
  private @Nullable Path folder;

  /**
   * Sets the folder to check.
   *
   * @param folder the operators' settings folder
   * @return this command
   */
  public CheckCommand setFolder(Path folder) {
    this.folder = folder;
    return this;
  }

  /**
   * Reads, merges and validates the folder in the same way as a router.
   *
   * @return the configuration, or all faults found
   * @throws IllegalStateException if the folder is not set
   */
  public Either<List<Fault>, PublishedConfig> call() {
    if (folder == null) {
      throw new IllegalStateException("folder is not set");
    }
    return new SettingsFolder(folder).read().flatMap(ConfigParser::parse);
  }
}
