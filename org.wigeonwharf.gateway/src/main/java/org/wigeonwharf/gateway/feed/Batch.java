package org.wigeonwharf.gateway.feed;

import java.util.List;

/**
 * Holds items read from the store up to a revision.
 *
 * @param items the items, in the store's order
 * @param revision the store's revision up to which the batch is complete
 */
public record Batch(List<PublishedItem> items, long revision) {
  /** Copies {@code items}. */
  public Batch {
    items = List.copyOf(items);
  }
}
