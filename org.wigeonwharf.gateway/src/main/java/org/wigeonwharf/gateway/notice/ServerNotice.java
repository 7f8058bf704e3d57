package org.wigeonwharf.gateway.notice;

import java.util.Collection;
import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * Restricts the requests to backend servers by one kind of statement in their answers.
 *
 * <p>State belongs to one run of a server: another run under the same id starts without it. Not
 * thread-safe. All times are in nanoseconds of the monotonic clock.
 */
interface ServerNotice {
  /** Records what a server's answer states. */
  void recordAnswer(BackendServer server, ServerStatement statement, long now);

  /** Returns whether a server wants no request at all for the time being. */
  default boolean isClosed(BackendServer server, long now) {
    return false;
  }

  /** Returns the time in ms until one more request may be sent to a server; 0 if it may be now. */
  default double waitMillis(BackendServer server, long now) {
    return 0;
  }

  /** Records that a request would best be sent to a server, whether it may be or not. */
  default void recordDemand(BackendServer server, long now) {}

  /** Records that a request is sent to a server. */
  default void recordSent(BackendServer server, long now) {}

  /** Discards the state of servers that are not among the known ones and cannot return. */
  void retain(Collection<BackendServer> known, long now);
}
