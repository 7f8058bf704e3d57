package org.wigeonwharf.gateway.feed;

import java.util.List;

/**
 * A Batch is a run of items of the store.
 *
 * @param items the items, in the store's order
 * @param revision the store's revision that the batch goes up to
 */
public record Batch(List<PublishedItem> items, long revision) {
  /** Copies the items. */
  public Batch {
    items = List.copyOf(items);
  }
}
