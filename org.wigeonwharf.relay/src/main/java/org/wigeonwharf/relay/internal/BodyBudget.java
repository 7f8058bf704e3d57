package org.wigeonwharf.relay.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory for request bodies. Thread-safe. */
final class BodyBudget {
  private final long limitBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  BodyBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves bytes before they are read; returns false and reserves none if too few are left. */
  boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }
}
