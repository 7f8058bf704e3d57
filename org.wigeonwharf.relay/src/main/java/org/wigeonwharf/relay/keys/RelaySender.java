package org.wigeonwharf.relay.keys;

import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.relay.wire.RelayMessage;

/** Sends relay messages to peers. */
@FunctionalInterface
public interface RelaySender {
  /**
   * Sends a message, which may be lost.
   *
   * @param to the receiving process
   * @param message the message
   * @return false if there is no open connection to that process
   */
  boolean send(NodeId to, RelayMessage message);
}
