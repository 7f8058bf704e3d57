package org.wigeonwharf.schedule.internal;

import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.wire.CancelMessage;
import org.wigeonwharf.schedule.wire.CheckpointMessage;
import org.wigeonwharf.schedule.wire.CheckpointReplyMessage;
import org.wigeonwharf.schedule.wire.RegistrationMessage;
import org.wigeonwharf.schedule.wire.ScheduleMessage;
import org.wigeonwharf.schedule.wire.Shard;

/** Dispatches received messages to the scheduler host or the slot client. */
public final class MessageDispatcher {
  private final SchedulerHost host;
  private final SlotClient client;

  /**
   * Creates a dispatcher.
   *
   * @param host receives the messages from routers to schedulers
   * @param client receives the messages from schedulers to routers
   */
  public MessageDispatcher(SchedulerHost host, SlotClient client) {
    this.host = host;
    this.client = client;
  }

  /**
   * Dispatches one message.
   *
   * @param from the sender
   * @param m the message
   */
  public void dispatch(NodeId from, ScheduleMessage m) {
    switch (m.getKindCase()) {
      case REGISTRATION -> register(from, m.getSession(), m.getRegistration());
      case REQUEST -> host.submit(m.getSession(), ScheduleCodec.toRequest(from, m.getRequest()));
      case CANCEL -> cancel(from, m.getSession(), m.getCancel());
      case OUTCOME ->
          host.recordOutcome(m.getSession(), ScheduleCodec.outcome(from, m.getOutcome()));
      case CHECKPOINT -> checkpoint(from, m.getSession(), m.getCheckpoint());
      case GRANT -> client.handleGrant(from, m.getSession(), m.getGrant());
      case REFUSAL -> client.handleRefusal(from, m.getSession(), m.getRefusal());
      case PREEMPT -> client.handlePreemption(from, m.getSession(), m.getPreempt());
      case RESYNC -> client.handleResync(from, m.getSession(), shard(m.getResync().getShard()));
      case CHECKPOINT_REPLY -> checkpointReply(from, m.getSession(), m.getCheckpointReply());
      case NOT_SCHEDULER ->
          client.handleNotScheduler(from, m.getSession(), shard(m.getNotScheduler().getShard()));
      default -> {
        // Ignores message kinds that only newer peers know.
      }
    }
  }

  private static ShardId shard(Shard shard) {
    return ScheduleCodec.fromWire(shard);
  }

  private void register(NodeId from, long session, RegistrationMessage m) {
    host.register(shard(m.getShard()), from, session, ScheduleCodec.toRegistration(from, m));
  }

  private void cancel(NodeId from, long session, CancelMessage m) {
    host.cancel(shard(m.getShard()), session, new RequestId(from, m.getSequence()));
  }

  private void checkpoint(NodeId from, long session, CheckpointMessage m) {
    host.checkpoint(shard(m.getShard()), from, session, m.getSent());
  }

  private void checkpointReply(NodeId from, long session, CheckpointReplyMessage m) {
    client.handleCheckpointReply(from, session, shard(m.getShard()), m.getSent());
  }
}
