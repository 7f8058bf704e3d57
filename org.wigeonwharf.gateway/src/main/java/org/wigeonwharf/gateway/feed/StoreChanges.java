package org.wigeonwharf.gateway.feed;

import java.util.List;
import org.wigeonwharf.gateway.store.StorePosition;

/**
 * Holds changes of the store that one router has read and passes on to others.
 *
 * @param after the store's position after which the changes begin
 * @param position the store's position of the same era up to which they are complete
 * @param complete false if some of the changes are left out, so that a receiver has to read them
 * @param items the changes in the store's order; empty if they are not complete
 */
public record StoreChanges(
    StorePosition after, StorePosition position, boolean complete, List<PublishedItem> items) {
  /** Maximum number of changes passed on together, which have to fit a datagram. */
  static final int MAX_ITEMS = 30;

  /** Copies {@code items}. */
  public StoreChanges {
    items = List.copyOf(items);
  }

  /**
   * Describes a batch of changes. Changes of servers and evacuations are passed on; all others are
   * read by each router itself.
   *
   * @param after the position after which the batch begins
   * @param batch the changes
   */
  static StoreChanges of(StorePosition after, Batch batch) {
    boolean complete =
        batch.items().size() <= MAX_ITEMS
            && batch.items().stream().allMatch(StoreChanges::canPassOn);
    return new StoreChanges(
        after, batch.position(), complete, complete ? batch.items() : List.of());
  }

  /**
   * Returns whether the changes continue what was read up to a position.
   *
   * @param read the position
   */
  boolean continues(StorePosition read) {
    return position.isSameEra(read) && !after.isAfter(read) && position.isAfter(read);
  }

  private static boolean canPassOn(PublishedItem item) {
    return item instanceof PublishedItem.Server
        || item instanceof PublishedItem.ServerRemoved
        || item instanceof PublishedItem.EvacuationChange;
  }
}
