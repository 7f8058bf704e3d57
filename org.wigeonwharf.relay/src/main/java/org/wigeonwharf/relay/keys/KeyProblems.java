package org.wigeonwharf.relay.keys;

import org.wigeonwharf.model.Verdict;
import org.wigeonwharf.relay.Problem;

/** Creates the problems with which keyed requests are refused. */
final class KeyProblems {
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private KeyProblems() {}

  static Problem notIssued(boolean namesThisIssuer) {
    return new Problem(
        BAD_REQUEST,
        "key-unknown",
        "The idempotency key was not issued to this client account.",
        namesThisIssuer ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        0);
  }

  static Problem reused() {
    return new Problem(
        UNPROCESSABLE,
        "key-reused",
        "The idempotency key was used for another request; this one was not run.",
        Verdict.NOT_RUN,
        0);
  }

  static Problem expired() {
    return new Problem(
        GONE,
        "key-expired",
        "The idempotency key has expired; an earlier use of it may have run.",
        Verdict.MAY_HAVE_RUN,
        0);
  }

  static Problem tableFull() {
    return new Problem(
        UNAVAILABLE,
        "keys-full",
        "The router holds as many used keys as it may.",
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_MILLIS);
  }

  static Problem tooManyWaiters() {
    return new Problem(
        CONFLICT,
        "key-in-use",
        "The request with this key is running; ask again for its answer.",
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_MILLIS);
  }

  static Problem responseNotCached() {
    return new Problem(
        CONFLICT,
        "answer-not-kept",
        "The request with this key ran; its answer was too long to keep.",
        Verdict.RAN,
        0);
  }

  static Problem stopping() {
    return new Problem(
        UNAVAILABLE,
        "stopping",
        "The router that issued the key is stopping and did not run the request.",
        Verdict.NOT_RUN,
        0);
  }

  static Problem issuerUnreachable() {
    return new Problem(
        UNAVAILABLE,
        "issuer-unreachable",
        "The router that issued the key is gone or silent; the request may have run.",
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_MILLIS);
  }
}
