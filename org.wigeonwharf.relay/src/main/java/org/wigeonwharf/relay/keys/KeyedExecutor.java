package org.wigeonwharf.relay.keys;

/** Sends a keyed request to a backend server, in at most one attempt. */
@FunctionalInterface
public interface KeyedExecutor {
  /**
   * Executes a request. Must not block.
   *
   * @param request the request
   * @param listener receives the result exactly once, on any thread
   */
  void execute(KeyedRequest request, CompletionListener listener);
}
