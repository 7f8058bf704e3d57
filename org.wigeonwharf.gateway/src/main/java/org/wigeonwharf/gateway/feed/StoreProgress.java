package org.wigeonwharf.gateway.feed;

import org.jspecify.annotations.Nullable;

/**
 * Exchanges with other routers how far each has read the store, and what the readers of a failure
 * domain have read. All methods are called on the thread of the timers.
 */
public interface StoreProgress {
  /** Returns the store revision of the last change that was read, or 0 before the first read. */
  long changeRevision();

  /** Returns this router's contact with the store, or null if it passes on no changes. */
  @Nullable ReaderState readerState();

  /**
   * Records how far another router has read.
   *
   * @param newer the store revision of the last change that it has read
   */
  void onPeerRevision(long newer);

  /**
   * Records the state of a router of the same failure domain that passes on what it reads.
   *
   * @param state its contact with the store
   */
  void onPeerReader(ReaderState state);

  /**
   * Applies changes that a router of the same failure domain has read, if they continue what this
   * one has read.
   *
   * @param changes the changes
   */
  void onPeerChanges(StoreChanges changes);
}
