package org.wigeonwharf.gateway.feed;

import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.store.StorePosition;

/**
 * Exchanges with other routers how far each has read the store, and what the readers of a failure
 * domain have read. All methods are called on the thread of the timers.
 */
public interface StoreProgress {
  /**
   * Returns the store's position of the last change that was read, or revision 0 of era 0 before
   * the first read.
   */
  StorePosition changePosition();

  /** Returns this router's contact with the store, or null if it passes on no changes. */
  @Nullable ReaderState readerState();

  /** Returns the version of the configuration by which requests are handled, or 0 if none is. */
  long configurationVersion();

  /**
   * Records the version of the configuration by which another router handles requests.
   *
   * @param version the version
   */
  void onPeerConfiguration(long version);

  /**
   * Records how far another router has read.
   *
   * @param newer the store's position of the last change that it has read
   */
  void onPeerPosition(StorePosition newer);

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
