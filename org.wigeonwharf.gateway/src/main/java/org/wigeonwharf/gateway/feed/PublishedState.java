package org.wigeonwharf.gateway.feed;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.backend.ServerDirectory;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.gateway.store.StorePosition;

/**
 * Holds the routes, servers and evacuations that were read from the store, and up to which position
 * they are complete.
 *
 * <p>A lower version of the routes never replaces a higher one, also if the store is restored from
 * a copy that holds the lower one. Not thread-safe.
 */
final class PublishedState {
  private static final Logger LOG = LoggerFactory.getLogger(PublishedState.class);

  private final ServerDirectory directory;
  private final Evacuations evacuations;
  private @Nullable RouteTable routes;
  private StorePosition position = StorePosition.NONE;
  private StorePosition changePosition = new StorePosition(0, 0);

  /**
   * Creates a state in which nothing has been read.
   *
   * @param directory receives the servers
   * @param evacuations receives the evacuated failure domains
   */
  PublishedState(ServerDirectory directory, Evacuations evacuations) {
    this.directory = directory;
    this.evacuations = evacuations;
  }

  /** Returns the newest routes read, or null before the first read. */
  @Nullable RouteTable routes() {
    return routes;
  }

  /** Returns the position up to which everything was read. */
  StorePosition position() {
    return position;
  }

  /** Returns the position of the last change that was read, or revision 0 before the first read. */
  StorePosition changePosition() {
    return changePosition;
  }

  /** Tells whether the store has been read completely. */
  boolean isRead() {
    return !position.equals(StorePosition.NONE);
  }

  /**
   * Records that nothing has changed up to a position.
   *
   * @param unchanged a position of the current era
   */
  void recordUnchanged(StorePosition unchanged) {
    position = StorePosition.max(position, unchanged);
  }

  /**
   * Applies changes that continue what was read.
   *
   * @param batch the changes
   * @param now the current time in nanoseconds
   */
  void applyChanges(Batch batch, long now) {
    batch.items().forEach(p -> apply(p, now));
    advance(StorePosition.max(position, batch.position()));
  }

  /**
   * Applies a complete read.
   *
   * @param batch all items
   * @param now the current time in nanoseconds
   */
  void replaceAll(Batch batch, long now) {
    evacuations.replaceAll(evacuations(batch), batch.position());
    directory.replaceAll(servers(batch), now);
    applyOthers(batch, now);
    advance(StorePosition.max(position, batch.position()));
  }

  /**
   * Applies a complete read of a store that was restored from an earlier copy. What is known
   * outweighs the copy.
   *
   * @param batch all items
   * @param now the current time in nanoseconds
   */
  void restore(Batch batch, long now) {
    evacuations.restore(evacuations(batch), batch.position(), now);
    directory.restore(servers(batch), now);
    applyOthers(batch, now);
    advance(batch.position());
  }

  private static List<BackendServer> servers(Batch batch) {
    List<BackendServer> found = new ArrayList<>();
    for (PublishedItem item : batch.items()) {
      if (item instanceof PublishedItem.Server s) {
        found.add(s.server());
      }
    }
    return found;
  }

  private static List<Evacuation> evacuations(Batch batch) {
    List<Evacuation> found = new ArrayList<>();
    for (PublishedItem item : batch.items()) {
      if (item instanceof PublishedItem.EvacuationChange e) {
        found.add(e.evacuation());
      }
    }
    return found;
  }

  private void applyOthers(Batch batch, long now) {
    for (PublishedItem item : batch.items()) {
      boolean applied =
          item instanceof PublishedItem.Server || item instanceof PublishedItem.EvacuationChange;
      if (!applied) {
        apply(item, now);
      }
    }
  }

  /**
   * Returns whether a batch is of another era than what was read before, so that the store has been
   * restored from an earlier copy.
   *
   * @param batch the batch
   */
  boolean isOfOtherEra(Batch batch) {
    return isRead() && !batch.position().isSameEra(position);
  }

  private void advance(StorePosition next) {
    position = next;
    changePosition = next;
    evacuations.recordRead(next);
  }

  private void apply(PublishedItem item, long now) {
    if (item instanceof PublishedItem.Routes r) {
      activate(r.table());
    } else if (item instanceof PublishedItem.Server s) {
      directory.put(s.server());
    } else if (item instanceof PublishedItem.EvacuationChange e) {
      evacuations.apply(e.evacuation());
    } else if (item instanceof PublishedItem.ServerRemoved g) {
      directory.withdraw(g.id(), now);
    } else if (item instanceof PublishedItem.Unusable u) {
      LOG.atWarn()
          .addKeyValue("event", "store.item_unusable")
          .addKeyValue("key", u.key())
          .addKeyValue("reason", u.reason())
          .log("invalid item ignored");
    }
  }

  private void activate(RouteTable table) {
    RouteTable previous = routes;
    if (previous != null && previous.version() >= table.version()) {
      return;
    }
    routes = table;
    LOG.atInfo()
        .addKeyValue("event", "config.adopted")
        .addKeyValue("version", table.version())
        .addKeyValue("previous", previous == null ? 0 : previous.version())
        .addKeyValue("routes", table.size())
        .log("configuration activated");
  }
}
