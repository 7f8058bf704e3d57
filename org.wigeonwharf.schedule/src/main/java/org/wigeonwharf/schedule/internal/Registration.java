package org.wigeonwharf.schedule.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeonwharf.schedule.HeldLease;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * The leases and waiting requests of one router in one shard.
 *
 * @param held the leases in use
 * @param waiting the waiting requests
 */
record Registration(List<NumberedLease> held, List<SlotRequest> waiting) {
  /**
   * A lease in use with its number.
   *
   * @param held the lease
   * @param lease the lease's number, unique within the term of the scheduler that granted it
   */
  record NumberedLease(HeldLease held, long lease) {
    long ticket() {
      return held.request().sequence();
    }
  }

  Set<Long> heldTickets() {
    return held.stream().map(NumberedLease::ticket).collect(Collectors.toSet());
  }

  Set<Long> waitingTickets() {
    return waiting.stream().map(r -> r.id().sequence()).collect(Collectors.toSet());
  }
}
