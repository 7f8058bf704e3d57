package org.wigeonwharf.relay.internal;

import java.util.concurrent.atomic.AtomicLong;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;

/** RequestIds numbers the requests of one process. */
public final class RequestIdGenerator {
  private final NodeId self;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Starts at one.
   *
   * @param self the own process
   */
  public RequestIdGenerator(NodeId self) {
    this.self = self;
  }

  RequestId next() {
    return new RequestId(self, sequence.incrementAndGet());
  }
}
