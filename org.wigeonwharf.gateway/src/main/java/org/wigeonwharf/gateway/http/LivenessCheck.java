package org.wigeonwharf.gateway.http;

import java.util.function.Consumer;
import org.wigeonwharf.gateway.backend.BackendServer;

/** Finds out whether the process of a backend server is still there. */
public interface LivenessCheck {
  /** The result of a check. */
  enum Result {
    /** It accepts connections. */
    ALIVE,
    /** Its host refuses connections, since no process listens. */
    ENDED,
    /** Nothing is known, because the network did not answer. */
    UNKNOWN
  }

  /**
   * Starts a check.
   *
   * @param server the server
   * @param callback receives the result later, on the thread that handles all requests
   */
  void check(BackendServer server, Consumer<Result> callback);
}
