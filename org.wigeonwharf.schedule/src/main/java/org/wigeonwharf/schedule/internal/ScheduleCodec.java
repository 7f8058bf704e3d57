package org.wigeonwharf.schedule.internal;

import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServerId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.schedule.Decision;
import org.wigeonwharf.schedule.HeldLease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.internal.Registration.NumberedLease;
import org.wigeonwharf.schedule.wire.CancelMessage;
import org.wigeonwharf.schedule.wire.CheckpointMessage;
import org.wigeonwharf.schedule.wire.CheckpointReplyMessage;
import org.wigeonwharf.schedule.wire.GrantMessage;
import org.wigeonwharf.schedule.wire.HeldLeaseMessage;
import org.wigeonwharf.schedule.wire.NotSchedulerMessage;
import org.wigeonwharf.schedule.wire.OutcomeMessage;
import org.wigeonwharf.schedule.wire.PreemptMessage;
import org.wigeonwharf.schedule.wire.RefusalMessage;
import org.wigeonwharf.schedule.wire.RegistrationMessage;
import org.wigeonwharf.schedule.wire.ResyncMessage;
import org.wigeonwharf.schedule.wire.ScheduleMessage;
import org.wigeonwharf.schedule.wire.Shard;
import org.wigeonwharf.schedule.wire.SlotRequestMessage;

/** Converts slot requests, decisions, outcomes and registrations to and from wire messages. */
public final class ScheduleCodec {
  private ScheduleCodec() {}

  static Shard toWire(ShardId shard) {
    return Shard.newBuilder()
        .setService(shard.service().value())
        .setFailureDomain(shard.domain().value())
        .setIndex(shard.index())
        .build();
  }

  static ShardId fromWire(Shard shard) {
    return new ShardId(
        new ServiceId(shard.getService()),
        new FailureDomain(shard.getFailureDomain()),
        shard.getIndex());
  }

  static ScheduleMessage request(SlotRequest r) {
    return ScheduleMessage.newBuilder().setRequest(toRequestMessage(r)).build();
  }

  private static SlotRequestMessage.Builder toRequestMessage(SlotRequest r) {
    return SlotRequestMessage.newBuilder()
        .setShard(toWire(r.shard()))
        .setSequence(r.id().sequence())
        .setServiceClass(r.serviceClass().value())
        .setAccount(r.account().value())
        .setEstimatedTokens(r.estimatedTokens())
        .setAffinity(r.affinity())
        .setWaitedMillis(r.waitedMillis())
        .setRepeatable(r.repeatable())
        .setConfigRevision(r.configRevision());
  }

  static SlotRequest toRequest(NodeId from, SlotRequestMessage m) {
    return new SlotRequest(
        new RequestId(from, m.getSequence()),
        fromWire(m.getShard()),
        new ClassId(m.getServiceClass()),
        new AccountId(m.getAccount()),
        m.getEstimatedTokens(),
        m.getAffinity(),
        m.getWaitedMillis(),
        m.getRepeatable(),
        m.getConfigRevision());
  }

  static ScheduleMessage decision(ShardId shard, Decision decision) {
    ScheduleMessage.Builder b = ScheduleMessage.newBuilder();
    long sequence = decision.request().sequence();
    if (decision instanceof Decision.Grant g) {
      b.setGrant(
          GrantMessage.newBuilder()
              .setShard(toWire(shard))
              .setSequence(sequence)
              .setLease(g.lease())
              .setServer(g.server().value())
              .setStartWithinMillis(g.startWithinMillis()));
    } else if (decision instanceof Decision.Refusal r) {
      b.setRefusal(
          RefusalMessage.newBuilder()
              .setShard(toWire(shard))
              .setSequence(sequence)
              .setReason(r.reason().wireName())
              .setRetryAfterMillis(r.retryAfterMillis()));
    } else if (decision instanceof Decision.Preemption p) {
      b.setPreempt(
          PreemptMessage.newBuilder()
              .setShard(toWire(shard))
              .setSequence(sequence)
              .setLease(p.lease()));
    }
    return b.build();
  }

  static RefusalReason toReason(String wireName) {
    for (RefusalReason r : RefusalReason.values()) {
      if (r.wireName().equals(wireName)) {
        return r;
      }
    }
    return RefusalReason.CAPACITY;
  }

  static ScheduleMessage cancel(ShardId shard, RequestId id) {
    return ScheduleMessage.newBuilder()
        .setCancel(CancelMessage.newBuilder().setShard(toWire(shard)).setSequence(id.sequence()))
        .build();
  }

  static ScheduleMessage outcome(Outcome o) {
    return ScheduleMessage.newBuilder()
        .setOutcome(
            OutcomeMessage.newBuilder()
                .setShard(toWire(o.shard()))
                .setSequence(o.request().sequence())
                .setLease(o.lease())
                .setServer(o.server().value())
                .setEnd(o.end().name())
                .setFirstTokenMillis(o.firstTokenMillis())
                .setTokens(o.tokens())
                .setTotalMillis(o.totalMillis()))
        .build();
  }

  static Outcome outcome(NodeId from, OutcomeMessage m) {
    return new Outcome(
        new RequestId(from, m.getSequence()),
        fromWire(m.getShard()),
        m.getLease(),
        new ServerId(m.getServer()),
        LeaseEnd.valueOf(m.getEnd()),
        m.getFirstTokenMillis(),
        m.getTokens(),
        m.getTotalMillis());
  }

  static ScheduleMessage registration(ShardId shard, long revision, Registration registration) {
    RegistrationMessage.Builder b =
        RegistrationMessage.newBuilder().setShard(toWire(shard)).setConfigRevision(revision);
    registration.held().forEach(h -> b.addHeld(toHeldMessage(h)));
    registration.waiting().forEach(w -> b.addWaiting(toRequestMessage(w).clearShard()));
    return ScheduleMessage.newBuilder().setRegistration(b).build();
  }

  private static HeldLeaseMessage toHeldMessage(NumberedLease h) {
    return HeldLeaseMessage.newBuilder()
        .setSequence(h.ticket())
        .setLease(h.lease())
        .setServer(h.held().server().value())
        .setServiceClass(h.held().serviceClass().value())
        .setAccount(h.held().account().value())
        .build();
  }

  static Registration toRegistration(NodeId from, RegistrationMessage m) {
    return new Registration(
        m.getHeldList().stream().map(h -> toNumberedLease(from, h)).toList(),
        m.getWaitingList().stream()
            .map(w -> toRequest(from, w.toBuilder().setShard(m.getShard()).build()))
            .toList());
  }

  private static NumberedLease toNumberedLease(NodeId from, HeldLeaseMessage m) {
    HeldLease held =
        new HeldLease(
            new RequestId(from, m.getSequence()),
            new ServerId(m.getServer()),
            new ClassId(m.getServiceClass()),
            new AccountId(m.getAccount()));
    return new NumberedLease(held, m.getLease());
  }

  static ScheduleMessage resync(ShardId shard) {
    return ScheduleMessage.newBuilder()
        .setResync(ResyncMessage.newBuilder().setShard(toWire(shard)))
        .build();
  }

  static ScheduleMessage checkpoint(ShardId shard, long sent) {
    return ScheduleMessage.newBuilder()
        .setCheckpoint(CheckpointMessage.newBuilder().setShard(toWire(shard)).setSent(sent))
        .build();
  }

  static ScheduleMessage checkpointReply(ShardId shard, long sent) {
    return ScheduleMessage.newBuilder()
        .setCheckpointReply(
            CheckpointReplyMessage.newBuilder().setShard(toWire(shard)).setSent(sent))
        .build();
  }

  static ScheduleMessage notScheduler(ShardId shard) {
    return ScheduleMessage.newBuilder()
        .setNotScheduler(NotSchedulerMessage.newBuilder().setShard(toWire(shard)))
        .build();
  }

  static ScheduleMessage inSession(ScheduleMessage message, long session) {
    return message.toBuilder().setSession(session).build();
  }
}
