package org.wigeonwharf.standin.measure;

import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;

/**
 * Represents one caller's request in a measurement run and records its outcome.
 *
 * <p>Times are in nanoseconds of virtual time; -1 means that the event has not happened.
 */
final class Job {
  final long number;
  final ClassSpec classSpec;
  final AccountId account;
  final int routerIndex;
  final int outputTokens;
  final long prefillNanos;
  final long arrivedNanos;
  final boolean arrivedInCrest;
  final boolean longOutput;

  int generatedTokens;
  int attempts;
  int wastedTokens;
  long startedNanos = -1;
  long firstTokenNanos = -1;
  long endedNanos = -1;
  boolean refused;
  boolean abandoned;
  boolean arrivedDuringLongOutput;

  Job(
      long number,
      ClassSpec classSpec,
      AccountId account,
      int routerIndex,
      int outputTokens,
      long prefillNanos,
      long arrivedNanos,
      boolean arrivedInCrest,
      boolean longOutput) {
    this.number = number;
    this.classSpec = classSpec;
    this.account = account;
    this.routerIndex = routerIndex;
    this.outputTokens = outputTokens;
    this.prefillNanos = prefillNanos;
    this.arrivedNanos = arrivedNanos;
    this.arrivedInCrest = arrivedInCrest;
    this.longOutput = longOutput;
  }

  boolean isFinished() {
    return endedNanos >= 0;
  }

  boolean metFirstTokenTarget() {
    return firstTokenNanos >= 0
        && firstTokenNanos - arrivedNanos <= classSpec.firstTokenTarget().toNanos();
  }

  boolean metTokenGapTarget() {
    return isFinished()
        && (outputTokens < 2
            || (endedNanos - firstTokenNanos) / (outputTokens - 1)
                <= classSpec.tokenGapTarget().toNanos());
  }
}
