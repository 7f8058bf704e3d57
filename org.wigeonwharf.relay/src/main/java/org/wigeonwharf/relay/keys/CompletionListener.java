package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import org.wigeonwharf.relay.Problem;

/** Receives the result of one arrival of a keyed request, exactly once. */
@FunctionalInterface
public interface CompletionListener {
  /**
   * Called when the arrival has a result.
   *
   * @param result the backend server's complete response, or the problem to answer with
   */
  void completed(Either<Problem, KeyedResponse> result);
}
