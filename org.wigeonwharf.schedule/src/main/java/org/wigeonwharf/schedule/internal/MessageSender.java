package org.wigeonwharf.schedule.internal;

import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/** Sends a message to a router, which may be this process. */
@FunctionalInterface
public interface MessageSender {
  /**
   * Sends a message.
   *
   * @param to the receiver
   * @param message the message
   * @return false if there is no open connection to the receiver
   */
  boolean send(NodeId to, ScheduleMessage message);
}
