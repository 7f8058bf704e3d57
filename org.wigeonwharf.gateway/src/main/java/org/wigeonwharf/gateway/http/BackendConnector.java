package org.wigeonwharf.gateway.http;

import org.wigeonwharf.gateway.backend.BackendServer;

/** A BackendConnector sends requests to backend servers. */
public interface BackendConnector {
  /**
   * Sends a request. The listener is never called before this returns.
   *
   * @param server where it goes
   * @param request the request
   * @param listener hears how it goes on
   * @return the attempt
   */
  Attempt send(BackendServer server, OutboundRequest request, AttemptListener listener);
}
