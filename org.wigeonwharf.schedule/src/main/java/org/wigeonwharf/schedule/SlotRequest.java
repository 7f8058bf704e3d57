package org.wigeonwharf.schedule;

import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;

/**
 * A request to a shard's scheduler for one slot on one of the shard's backend servers.
 *
 * @param id the caller's request
 * @param shard the shard
 * @param serviceClass the request's class
 * @param account the caller's client account
 * @param estimatedTokens output length in tokens that the caller asked for, or 0 if unknown
 * @param affinity hash of the prompt's prefix, or 0 for none
 * @param waitedMillis time in milliseconds that the request has waited already, including the wait
 *     with other or previous schedulers
 * @param repeatable false if the request must run at most once
 * @param configRevision configuration revision of the requesting router
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
   * Returns this request with a longer wait.
   *
   * @param millis time to add to the wait in milliseconds
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
