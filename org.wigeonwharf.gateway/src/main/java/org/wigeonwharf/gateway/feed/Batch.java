package org.wigeonwharf.gateway.feed;

import java.util.List;
import org.wigeonwharf.gateway.store.StorePosition;

/**
 * Holds items read from the store up to a position.
 *
 * @param items the items, in the store's order
 * @param position the store's position up to which the batch is complete
 */
public record Batch(List<PublishedItem> items, StorePosition position) {
  /** Copies {@code items}. */
  public Batch {
    items = List.copyOf(items);
  }
}
