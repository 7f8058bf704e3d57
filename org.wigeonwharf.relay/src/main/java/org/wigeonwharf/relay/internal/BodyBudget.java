package org.wigeonwharf.relay.internal;

import java.util.concurrent.atomic.AtomicLong;

/** A BodyBudget bounds the bytes of request bodies held at once, over all requests. */
final class BodyBudget {
  private final long limitBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  BodyBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves bytes before they are read; false if there is no room, and nothing is reserved. */
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
