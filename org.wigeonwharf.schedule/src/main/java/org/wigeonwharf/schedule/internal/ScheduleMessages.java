package org.wigeonwharf.schedule.internal;

import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.schedule.wire.CancelMessage;
import org.wigeonwharf.schedule.wire.PreemptMessage;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/** ScheduleMessages passes each received message to the side that it is for. */
public final class ScheduleMessages {
  private final SchedulerHost host;
  private final SlotClient client;

  /**
   * Creates a dispatcher.
   *
   * @param host takes what routers tell schedulers
   * @param client takes what schedulers tell routers
   */
  public ScheduleMessages(SchedulerHost host, SlotClient client) {
    this.host = host;
    this.client = client;
  }

  /**
   * Passes on one message.
   *
   * @param from the sender
   * @param m the message
   */
  public void dispatch(NodeId from, ScheduleMessage m) {
    switch (m.getKindCase()) {
      case REQUEST -> host.request(ScheduleCodec.request(from, m.getRequest()));
      case CANCEL -> cancel(from, m.getCancel());
      case OUTCOME -> host.outcome(ScheduleCodec.outcome(from, m.getOutcome()));
      case HELD ->
          host.held(
              ScheduleCodec.fromWire(m.getHeld().getShard()),
              ScheduleCodec.held(from, m.getHeld()));
      case REGISTERED ->
          host.registered(ScheduleCodec.fromWire(m.getRegistered().getShard()), from);
      case GRANT -> client.granted(from, m.getGrant());
      case REFUSAL -> client.refused(from, m.getRefusal());
      case PREEMPT -> preempt(from, m.getPreempt());
      case NOT_SCHEDULER -> client.notScheduler(m.getNotScheduler().getSequence());
      default -> {
        // A newer peer's message: unknown here and safe to pass over.
      }
    }
  }

  private void cancel(NodeId from, CancelMessage m) {
    host.cancel(ScheduleCodec.fromWire(m.getShard()), new RequestId(from, m.getSequence()));
  }

  private void preempt(NodeId from, PreemptMessage m) {
    client.preempted(from, m.getSequence(), m.getLease());
  }
}
