package org.wigeonwharf.config;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Reads configuration from the platform's configuration service. */
public interface ConfigSource {
  /**
   * One published settings folder.
   *
   * @param revision the platform's revision
   * @param files all files, in merge order
   */
  record Publication(long revision, List<SettingsFile> files) {}

  /**
   * Waits for a publication newer than a given revision.
   *
   * @param heldRevision the newest revision that the caller holds
   * @param maxWait maximum time the platform may wait before it answers
   * @return the newest publication, or empty if none arrived in time
   * @throws IOException if the platform can't be reached, refuses the read or sends an invalid
   *     answer
   * @throws InterruptedException if the waiting thread is interrupted
   */
  Optional<Publication> watch(long heldRevision, Duration maxWait)
      throws IOException, InterruptedException;
}
