package org.wigeonwharf.gateway.feed;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wigeonwharf.gateway.store.StorePosition;

/** Provides read access to the configuration and the servers that the platform publishes. */
public interface PublishedStore {
  /**
   * Reads all items.
   *
   * @param timeout maximum wait for the answer to each call; one read may need several calls
   * @return all items, with the revision to continue from with {@link #awaitChanges}; fails with an
   *     IOException
   */
  CompletableFuture<Batch> readAll(Duration timeout);

  /**
   * Waits for changes by a long poll.
   *
   * @param revision the revision up to which the caller has read
   * @param wait maximum time that the store holds the call while nothing changes
   * @param timeout maximum wait for the answer
   * @return the changes, empty if there were none; fails with an IOException, which is a {@link
   *     HistoryLostException} if all items must be read again
   */
  CompletableFuture<Batch> awaitChanges(long revision, Duration wait, Duration timeout);

  /**
   * Reads the changes of servers that the store remembers.
   *
   * @param revision the revision after which the changes begin
   * @param timeout maximum wait for the answer
   * @return the changes up to now, empty if there were none; fails with an IOException, which is a
   *     {@link HistoryLostException} if the store has discarded some of them
   */
  CompletableFuture<Batch> readServerChanges(long revision, Duration timeout);

  /**
   * Reads the store's position, which is at least that of each change acknowledged before the call.
   *
   * @param timeout maximum wait for the answer
   * @return the position; fails with an IOException
   */
  CompletableFuture<StorePosition> readPosition(Duration timeout);
}
