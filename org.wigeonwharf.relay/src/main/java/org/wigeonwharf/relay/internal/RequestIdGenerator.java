package org.wigeonwharf.relay.internal;

import java.util.concurrent.atomic.AtomicLong;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;

/** Generates the request ids of one process. Thread-safe. */
public final class RequestIdGenerator {
  private final NodeId self;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a generator whose first sequence number is 1.
   *
   * @param self this process
   */
  public RequestIdGenerator(NodeId self) {
    this.self = self;
  }

  RequestId next() {
    return new RequestId(self, sequence.incrementAndGet());
  }
}
