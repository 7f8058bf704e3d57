package org.wigeonwharf.relay.internal;

import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotSource;

/** An attempt together with its lease; reports the end of the lease exactly once. */
final class LeasedAttempt {
  private final Lease lease;
  private final RequestId id;
  private final SlotSource slots;
  private final BackendAttempt attempt;
  private final int tokensBefore;
  private long firstByteMillis = -1;
  private boolean ended;

  LeasedAttempt(
      Lease lease, RequestId id, SlotSource slots, BackendAttempt attempt, int tokensBefore) {
    this.lease = lease;
    this.id = id;
    this.slots = slots;
    this.attempt = attempt;
    this.tokensBefore = tokensBefore;
  }

  Lease lease() {
    return lease;
  }

  BackendAttempt attempt() {
    return attempt;
  }

  /** Records that response bytes were received; returns true for the first of this attempt. */
  boolean recordByte() {
    if (firstByteMillis >= 0) {
      return false;
    }
    firstByteMillis = attempt.millisSinceWrite();
    return true;
  }

  /** Reports the end of the lease once; the token count is the total over all attempts. */
  void end(LeaseEnd end, int tokens) {
    if (ended) {
      return;
    }
    ended = true;
    slots.end(
        new Outcome(
            id,
            lease.request().shard(),
            lease.number(),
            lease.server().id(),
            end,
            firstByteMillis,
            tokens - tokensBefore,
            attempt.millisSinceWrite()));
  }
}
