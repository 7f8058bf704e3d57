package org.wigeonwharf.relay.keys;

/** A KeyedExecutor sends a keyed request to a backend server, in one attempt at most. */
@FunctionalInterface
public interface KeyedExecutor {
  /**
   * Executes a request. Must not block.
   *
   * @param request the request
   * @param listener hears the end exactly once, on any thread
   */
  void execute(KeyedRequest request, CompletionListener listener);
}
