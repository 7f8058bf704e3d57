package org.wigeonwharf.schedule.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.config.Snapshot;
import org.wigeonwharf.membership.Member;
import org.wigeonwharf.membership.MembershipView;
import org.wigeonwharf.model.AccountId;
import org.wigeonwharf.model.ClassId;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.model.RefusalReason;
import org.wigeonwharf.model.RequestId;
import org.wigeonwharf.model.ServiceId;
import org.wigeonwharf.model.ShardId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.wire.GrantMessage;
import org.wigeonwharf.schedule.wire.ScheduleMessage;
import org.wigeonwharf.schedule.wire.ScheduleMessage.KindCase;

/**
 * Checks how the slot client handles late, duplicate and lost messages.
 *
 * <p>After a scheduler change, a pause of the process or a retry, a grant of an earlier session or
 * attempt may still arrive; using it would run a request on a slot that is leased again already.
 */
class SlotClientTest {
  private static final FailureDomain DOMAIN = new FailureDomain("d0");
  private static final NodeId SELF = new NodeId("a-self", 1);
  private static final ShardId SHARD = new ShardId(new ServiceId("s0"), DOMAIN, 0);

  private final List<Sent> sent = new ArrayList<>();
  private final List<Lease> leases = new ArrayList<>();
  private final List<RefusalReason> refusals = new ArrayList<>();
  private final Snapshot snapshot = new SimulatedFleet(0).snapshot;
  private long millis;
  private final SlotClient client =
      new SlotClient(SELF, () -> millis * Clock.NANOS_PER_MILLI, this::send);
  private final SlotListener listener = new Recorder();

  private record Sent(NodeId to, ScheduleMessage message) {}

  private final class Recorder implements SlotListener {
    @Override
    public void granted(Lease lease) {
      leases.add(lease);
    }

    @Override
    public void refused(RefusalReason reason, long retryAfterMillis) {
      refusals.add(reason);
    }

    @Override
    public void preempted() {}
  }

  private boolean send(NodeId to, ScheduleMessage m) {
    return sent.add(new Sent(to, m));
  }

  @BeforeEach
  void configure() {
    client.configure(snapshot);
  }

  private static MembershipView view(NodeId... nodes) {
    List<Member> members =
        Stream.of(nodes)
            .map(n -> new Peer(n, DOMAIN, new InetSocketAddress("127.0.0.1", 1)))
            .map(p -> new Member(p, p.node().equals(SELF), 1, 0))
            .toList();
    return new MembershipView(SELF, members);
  }

  private void acquire(long sequence) {
    RequestId id = new RequestId(SELF, sequence);
    ClassId c = new ClassId("c");
    client.acquire(new SlotRequest(id, SHARD, c, new AccountId("a"), 0, 0, 0, true, 1), listener);
  }

  private void grant(NodeId from, long session, long ticket, long lease) {
    GrantMessage grant =
        GrantMessage.newBuilder()
            .setShard(ScheduleCodec.toWire(SHARD))
            .setSequence(ticket)
            .setLease(lease)
            .setServer("x0")
            .setStartWithinMillis(1_000)
            .build();
    client.handleGrant(from, session, grant);
  }

  private long lastSession(NodeId to) {
    return sent.stream()
        .filter(s -> s.to().equals(to) && s.message().getKindCase() == KindCase.REGISTRATION)
        .filter(s -> s.message().getRegistration().getShard().getService().equals("s0"))
        .reduce((a, b) -> b)
        .orElseThrow()
        .message()
        .getSession();
  }

  private Sent last() {
    return sent.get(sent.size() - 1);
  }

  @Test
  void grantOfPreviousSchedulerIsReturnedUnused() {
    NodeId old = new NodeId("old", 1);
    NodeId next = new NodeId("next", 1);
    client.view(view(SELF, old));
    acquire(1);
    final long session = lastSession(old);
    client.view(view(SELF, next));
    grant(old, session, 1, 7);
    assertEquals(List.of(), leases);
    assertEquals(old, last().to());
    assertEquals(LeaseEnd.RETURNED.name(), last().message().getOutcome().getEnd());
    assertEquals(1, client.waiting());
    grant(next, lastSession(next), 1, 1);
    assertEquals(1, leases.size());
  }

  @Test
  void grantSentBeforeProcessWasPausedIsNotUsed() {
    NodeId scheduler = new NodeId("old", 1);
    client.view(view(SELF, scheduler));
    acquire(1);
    final long session = lastSession(scheduler);
    client.handlePause();
    grant(scheduler, session, 1, 7);
    assertEquals(List.of(), leases);
    assertEquals(1, client.waiting());
  }

  @Test
  void duplicateGrantIsUsedOnceAndNotReturned() {
    NodeId scheduler = new NodeId("old", 1);
    client.view(view(SELF, scheduler));
    acquire(1);
    grant(scheduler, lastSession(scheduler), 1, 7);
    int before = sent.size();
    grant(scheduler, lastSession(scheduler), 1, 7);
    assertEquals(1, leases.size());
    assertEquals(before, sent.size());
  }

  @Test
  void retriedRequestReturnsGrantOfEarlierAttempt() {
    NodeId scheduler = new NodeId("old", 1);
    client.view(view(SELF, scheduler));
    acquire(1);
    long session = lastSession(scheduler);
    grant(scheduler, session, 1, 7);
    Lease lease = leases.get(0);
    client.end(
        new Outcome(
            lease.request().id(),
            SHARD,
            lease.number(),
            lease.server().id(),
            LeaseEnd.NOT_STARTED,
            -1,
            0,
            1));
    acquire(1);
    grant(scheduler, session, 1, 7);
    assertEquals(1, leases.size());
    assertEquals(LeaseEnd.RETURNED.name(), last().message().getOutcome().getEnd());
  }

  @Test
  void declinedSessionIsRetriedAtIntervalAndRequestRefusedAtDeadline() {
    NodeId scheduler = new NodeId("old", 1);
    client.view(view(SELF, scheduler));
    acquire(1);
    client.handleNotScheduler(scheduler, lastSession(scheduler), SHARD);
    sent.clear();
    for (; millis < 5_000; millis += 20) {
      client.tick();
    }
    client.tick();
    assertEquals(List.of(RefusalReason.NO_SCHEDULER), refusals);
    assertEquals(
        0, sent.stream().filter(s -> s.message().getKindCase() == KindCase.REQUEST).count());
    assertEquals(50, sent.stream().filter(s -> isProbe(s.message())).count(), 1);
  }

  @Test
  void messageLossFoundByCheckpointLeadsToNewRegistration() {
    NodeId scheduler = new NodeId("old", 1);
    client.view(view(SELF, scheduler));
    acquire(1);
    client.handleCheckpointReply(scheduler, lastSession(scheduler), SHARD, 0);
    assertEquals(KindCase.REQUEST, last().message().getKindCase());
    client.handleCheckpointReply(scheduler, lastSession(scheduler), SHARD, 1);
    assertEquals(KindCase.REGISTRATION, last().message().getKindCase());
    assertEquals(1, last().message().getRegistration().getWaitingCount());
  }

  private static boolean isProbe(ScheduleMessage m) {
    return m.getKindCase() == KindCase.CHECKPOINT
        && m.getCheckpoint().getShard().getService().equals("s0");
  }
}
