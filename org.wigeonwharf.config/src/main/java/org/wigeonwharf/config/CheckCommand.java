package org.wigeonwharf.config;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** A CheckCommand tells whether a router would accept a settings folder. */
public final class CheckCommand {
  private @Nullable Path folder;

  /**
   * Sets the folder to check.
   *
   * @param folder the operators' folder
   * @return this command
   */
  public CheckCommand setFolder(Path folder) {
    this.folder = folder;
    return this;
  }

  /**
   * Reads, merges and checks the folder as a router does.
   *
   * @return the configuration, or one fault for each thing wrong
   * @throws IllegalStateException if no folder was set
   */
  public Either<List<Fault>, PublishedConfig> call() {
    if (folder == null) {
      throw new IllegalStateException("no folder set");
    }
    return new SettingsFolder(folder).read().flatMap(ConfigParser::parse);
  }
}
