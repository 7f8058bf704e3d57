package org.wigeonwharf.gateway.feed;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.RouteTable;

/**
 * Tells whether a router that has just started has read an older configuration than its peers
 * handle requests by.
 *
 * <p>The store may have been restored from an earlier copy, so that it lacks a configuration that
 * was in force. The router that starts must not handle requests by the copy's configuration while
 * running routers know better; it waits until the store holds the newer one again. A router that
 * has been level with its peers once stays in use, since its own configuration never goes back.
 */
final class PeerConfiguration {
  /** Maximum time that a router waits for the peers' version after its start. */
  static final Duration MAX_WAIT = Duration.ofSeconds(15);

  private final long startedAt;
  private long peerVersion;
  private boolean level;

  /**
   * Creates an instance that knows no peer.
   *
   * @param startedAt the time of the router's start in nanoseconds
   */
  PeerConfiguration(long startedAt) {
    this.startedAt = startedAt;
  }

  /**
   * Records the version by which a peer handles requests.
   *
   * @param version the version
   */
  void recordPeer(long version) {
    peerVersion = Math.max(peerVersion, version);
  }

  /**
   * Records the configuration that this router has read.
   *
   * @param routes the configuration, or null if none was read
   */
  void recordOwn(@Nullable RouteTable routes) {
    level |= routes != null && peerVersion > 0 && routes.version() >= peerVersion;
  }

  /** Returns the highest version of any peer, or 0 if none is known. */
  long peerVersion() {
    return peerVersion;
  }

  /**
   * Returns whether peers have known a newer configuration ever since this router started.
   *
   * @param routes the newest configuration read, or null
   */
  boolean isAhead(@Nullable RouteTable routes) {
    return !level && routes != null && routes.version() < peerVersion;
  }

  /**
   * Returns whether the router's configuration must not be used because peers know a newer one.
   *
   * @param routes the newest configuration read, or null
   * @param now the current time in nanoseconds
   */
  boolean mustWait(@Nullable RouteTable routes, long now) {
    return isAhead(routes) && now - startedAt < MAX_WAIT.toNanos();
  }
}
