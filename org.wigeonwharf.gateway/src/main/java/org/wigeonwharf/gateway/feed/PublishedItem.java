package org.wigeonwharf.gateway.feed;

import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.gateway.route.RouteTable;

/** A Published is one item that the platform's store holds, or the news of its removal. */
public sealed interface PublishedItem {
  /**
   * Routes are a complete configuration.
   *
   * @param table its content
   */
  record Routes(RouteTable table) implements PublishedItem {}

  /**
   * A Server is the entry of one backend server.
   *
   * @param server its content
   */
  record Server(BackendServer server) implements PublishedItem {}

  /**
   * A ServerGone tells that a backend server's entry is removed, or names no server to use.
   *
   * @param id the server's id
   */
  record ServerRemoved(String id) implements PublishedItem {}

  /**
   * An Unusable is an item that can't be understood; what was known before stays in force.
   *
   * @param key the item's key
   * @param reason what is wrong with it
   */
  record Unusable(String key, String reason) implements PublishedItem {}
}
