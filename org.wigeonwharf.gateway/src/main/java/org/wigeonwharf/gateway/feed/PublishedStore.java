package org.wigeonwharf.gateway.feed;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** A PublishedStore gives read access to what the platform publishes. */
public interface PublishedStore {
  /**
   * Reads all items.
   *
   * @param timeout longest wait for each of the calls that it takes
   * @return all items with the revision from which changes go on; fails with an IOException
   */
  CompletableFuture<Batch> readAll(Duration timeout);

  /**
   * Waits for changes.
   *
   * @param revision the revision up to which all is known
   * @param wait longest time that the store holds the call while nothing changes
   * @param timeout longest wait for the answer
   * @return the changes, none if nothing changed; fails with an IOException, a {@link
   *     HistoryLostException} if all must be read anew
   */
  CompletableFuture<Batch> awaitChanges(long revision, Duration wait, Duration timeout);
}
