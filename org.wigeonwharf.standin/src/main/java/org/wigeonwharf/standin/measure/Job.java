package org.wigeonwharf.standin.measure;

import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;

/** A Job is one caller's request in a measurement. */
final class Job {
  final long number;
  final ClassSpec spec;
  final AccountId account;
  final int router;
  final int tokens;
  final long prefillNanos;
  final long arrivedNanos;
  final boolean inCrest;
  final boolean longOutput;

  int generated;
  int attempts;
  int wastedTokens;
  long startedNanos = -1;
  long firstTokenNanos = -1;
  long endedNanos = -1;
  boolean refused;
  boolean left;
  boolean longWorkRan;

  Job(
      long number,
      ClassSpec spec,
      AccountId account,
      int router,
      int tokens,
      long prefillNanos,
      long arrivedNanos,
      boolean inCrest,
      boolean longOutput) {
    this.number = number;
    this.spec = spec;
    this.account = account;
    this.router = router;
    this.tokens = tokens;
    this.prefillNanos = prefillNanos;
    this.arrivedNanos = arrivedNanos;
    this.inCrest = inCrest;
    this.longOutput = longOutput;
  }

  boolean isFinished() {
    return endedNanos >= 0;
  }

  boolean metFirstToken() {
    return firstTokenNanos >= 0
        && firstTokenNanos - arrivedNanos <= spec.firstTokenTarget().toNanos();
  }

  boolean metTokenGap() {
    return isFinished()
        && (tokens < 2
            || (endedNanos - firstTokenNanos) / (tokens - 1) <= spec.tokenGapTarget().toNanos());
  }
}
