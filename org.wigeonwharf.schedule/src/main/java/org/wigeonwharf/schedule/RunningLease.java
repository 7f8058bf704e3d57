package org.wigeonwharf.schedule;

import java.util.Comparator;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.config.ClassSpec;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.RequestId;

/** A granted lease that has not ended. Not thread-safe. */
final class RunningLease {
  /** Lowest tier first, then the newest lease. */
  static final Comparator<RunningLease> PREEMPTION_ORDER =
      Comparator.comparingInt(RunningLease::rank)
          .thenComparingLong((RunningLease r) -> r.lease)
          .reversed();

  final RequestId request;
  final ServerState server;

  /** The request's class, or null if it is not in the configuration. */
  final @Nullable ClassSpec spec;

  final AccountId account;

  /** The lease's number, or 0 if a previous scheduler granted it. */
  final long lease;

  final long grantedNanos;

  /** Output tokens charged to the account at the grant, by estimate. */
  final long chargedTokens;

  /** The request's number in order of arrival. */
  final long sequence;

  boolean background;
  boolean firstTokenSeen;
  boolean preempted;

  RunningLease(
      RequestId request,
      ServerState server,
      @Nullable ClassSpec spec,
      AccountId account,
      long lease,
      long grantedNanos,
      long chargedTokens,
      long sequence,
      boolean background) {
    this.request = request;
    this.server = server;
    this.spec = spec;
    this.account = account;
    this.lease = lease;
    this.grantedNanos = grantedNanos;
    this.chargedTokens = chargedTokens;
    this.sequence = sequence;
    this.background = background;
  }

  int rank() {
    return spec == null ? Integer.MAX_VALUE : spec.tier().rank();
  }
}
