package org.wigeonwharf.gateway.http;

import org.wigeonwharf.gateway.backend.BackendServer;

/** Sends requests to backend servers. */
public interface BackendConnector {
  /**
   * Sends a request. The listener is never called before this returns.
   *
   * @param server the destination
   * @param request the request
   * @param listener receives the events of the attempt
   * @return the attempt
   */
  Attempt send(BackendServer server, OutboundRequest request, AttemptListener listener);
}
