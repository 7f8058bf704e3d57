package org.wigeonwharf.gateway.notice;

import org.wigeonwharf.gateway.backend.BackendServer;

/**
 * Identifies one run of a backend server, since ids may be used again.
 *
 * @param id the server's id
 * @param startedAt the start time that it publishes; 0 if it publishes none
 */
record ServerRun(String id, long startedAt) {
  static ServerRun of(BackendServer server) {
    return new ServerRun(server.id(), server.startedAt());
  }

  /** Returns whether the run differs from any later one under the same id. */
  boolean isUnique() {
    return startedAt != 0;
  }
}
