package org.wigeonwharf.schedule.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeonwharf.schedule.HeldLease;
import org.wigeonwharf.schedule.SlotRequest;

/**
 * A Registration is everything that a router holds and waits for at one shard.
 *
 * @param held its leases in use
 * @param waiting its waiting requests
 */
record Registration(List<NumberedLease> held, List<SlotRequest> waiting) {
  /**
   * A NumberedLease is a held lease with its number.
   *
   * @param held the lease
   * @param lease its number in the term of the scheduler that granted it
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
