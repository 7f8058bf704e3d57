package org.wigeonwharf.gateway.feed;

import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.evacuation.Evacuation;
import org.wigeonwharf.gateway.route.RouteTable;

/** Represents an item of the platform's store, or its removal. */
public sealed interface PublishedItem {
  /**
   * A complete configuration.
   *
   * @param table the decoded configuration
   */
  record Routes(RouteTable table) implements PublishedItem {}

  /**
   * The entry of a backend server.
   *
   * @param server the decoded entry
   */
  record Server(BackendServer server) implements PublishedItem {}

  /**
   * The removal of a backend server's entry.
   *
   * @param id the server's id
   */
  record ServerRemoved(String id) implements PublishedItem {}

  /**
   * An entry that evacuates a failure domain, or its removal.
   *
   * @param evacuation the decoded entry
   */
  record EvacuationChange(Evacuation evacuation) implements PublishedItem {}

  /**
   * An item that can't be decoded. Previously read state stays in use.
   *
   * @param key the item's key
   * @param reason why it can't be decoded
   */
  record Unusable(String key, String reason) implements PublishedItem {}
}
