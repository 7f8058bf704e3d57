package org.wigeonwharf.schedule;

import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;

/**
 * A SlotRequest asks a shard's scheduler for one slot on one of its backend servers.
 *
 * @param id the caller's request
 * @param shard the shard asked
 * @param serviceClass the request's class
 * @param account the caller's client account
 * @param estimatedTokens output length the caller asked for, or 0 if unknown
 * @param affinity hash of the prompt's start, or 0 for none
 * @param waitedMillis time the request has waited already, at other schedulers or before a change
 * @param repeatable false if the request must run at most once
 * @param configRevision the revision the asking router holds
 */
public record SlotRequest(
    RequestId id,
    ShardId shard,
    ClassId serviceClass,
    AccountId account,
    int estimatedTokens,
    long affinity,
    long waitedMillis,
    boolean repeatable,
    long configRevision) {
  /**
   * Returns the same request after it has waited longer.
   *
   * @param millis the further wait
   * @return a copy
   */
  public SlotRequest withAddedWait(long millis) {
    return new SlotRequest(
        id,
        shard,
        serviceClass,
        account,
        estimatedTokens,
        affinity,
        waitedMillis + millis,
        repeatable,
        configRevision);
  }
}
