package org.wigeonwharf.config;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A ConfigSource reads what the platform's configuration service publishes. */
public interface ConfigSource {
  /**
   * A Publish is one published folder.
   *
   * @param revision the platform's revision
   * @param files all files, in merge order
   */
  record Publication(long revision, List<SettingsFile> files) {}

  /**
   * Waits for a publish that is newer than a revision.
   *
   * @param heldRevision the revision already held
   * @param maxWait longest wait at the platform
   * @return the newest publish, or empty if there was none in time
   * @throws IOException if the platform can't be reached, refuses or answers nonsense
   * @throws InterruptedException if the waiting thread is interrupted
   */
  Optional<Publication> watch(long heldRevision, Duration maxWait)
      throws IOException, InterruptedException;
}
