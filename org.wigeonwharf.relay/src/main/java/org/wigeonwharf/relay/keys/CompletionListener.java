package org.wigeonwharf.relay.keys;

import io.vavr.control.Either;
import org.wigeonwharf.relay.Problem;

/** An EndListener hears the one end of a keyed request's arrival. */
@FunctionalInterface
public interface CompletionListener {
  /**
   * The arrival has ended.
   *
   * @param result the backend server's whole answer, or the problem to answer with
   */
  void completed(Either<Problem, KeyedResponse> result);
}
