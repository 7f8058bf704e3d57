package org.wigeonwharf.standin.capacity;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
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
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;
import org.wigeonwharf.schedule.Lease;
import org.wigeonwharf.schedule.LeaseEnd;
import org.wigeonwharf.schedule.Outcome;
import org.wigeonwharf.schedule.SlotListener;
import org.wigeonwharf.schedule.SlotRequest;
import org.wigeonwharf.schedule.internal.MessageDispatcher;
import org.wigeonwharf.schedule.internal.SchedulerHost;
import org.wigeonwharf.schedule.internal.SlotClient;
import org.wigeonwharf.schedule.wire.ScheduleMessage;

/**
 * Measures slot requests between a slot client and a scheduler host of the production code, which
 * exchange encoded messages in memory.
 */
final class ScheduleCost implements SlotListener {
  private static final FailureDomain DOMAIN = new FailureDomain("domain-00");
  private static final ShardId SHARD = new ShardId(new ServiceId("s0"), DOMAIN, 0);
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int SERVERS = 128;
  private static final int CYCLES = 100_000;
  private static final int WARM_UP_CYCLES = 50_000;
  private static final long SETTLE_MILLIS = 600;
  private static final int WAITERS = 20_000;

  private final NodeId router = new NodeId("entry-vm-0001", 0x1234_5678_9abcL);
  private final NodeId scheduler = new NodeId("entry-vm-0002", 0x1234_5678_9abcL);
  private final Clock clock = Clock.system();
  private final SchedulerHost host;
  private final SlotClient client;
  private final MessageDispatcher schedulerMessages;
  private final MessageDispatcher routerMessages;
  private final Deque<Runnable> deliveries = new ArrayDeque<>();
  private final List<Lease> leases = new ArrayList<>();
  private long sentBytes;
  private long sentMessages;
  private long sequence;

  ScheduleCost() {
    host = new SchedulerHost(scheduler, clock, (to, m) -> deliver(scheduler, m), (n, r) -> {});
    client = new SlotClient(router, clock, (to, m) -> deliver(router, m));
    schedulerMessages =
        new MessageDispatcher(host, new SlotClient(scheduler, clock, (to, m) -> true));
    routerMessages =
        new MessageDispatcher(
            new SchedulerHost(router, clock, (to, m) -> true, (n, r) -> {}), client);
    Snapshot snapshot = FleetConfig.snapshot(1, SERVERS, 57);
    host.configure(snapshot);
    client.configure(snapshot);
    host.view(membershipView(scheduler));
    client.view(membershipView(router));
    drain();
  }

  private void settle() throws InterruptedException {
    Thread.sleep(SETTLE_MILLIS);
    host.tick();
    drain();
  }

  private MembershipView membershipView(NodeId self) {
    InetSocketAddress at = new InetSocketAddress("127.0.0.1", 1);
    return new MembershipView(
        self,
        List.of(
            new Member(new Peer(router, DOMAIN, at), true, 1, 0),
            new Member(new Peer(scheduler, DOMAIN, at), false, 1, 0)));
  }

  private boolean deliver(NodeId from, ScheduleMessage m) {
    Packet packet =
        Packet.newBuilder()
            .setTopic(Topic.SCHEDULE.number())
            .setBody(ByteString.copyFrom(m.toByteArray()))
            .build();
    byte[] frame = Frame.newBuilder().setPacket(packet).build().toByteArray();
    sentBytes += frame.length + LENGTH_FIELD_BYTES;
    sentMessages++;
    deliveries.add(() -> receive(from, frame));
    return true;
  }

  private void receive(NodeId from, byte[] frame) {
    try {
      Packet packet = Frame.parseFrom(frame).getPacket();
      ScheduleMessage m = ScheduleMessage.parseFrom(packet.getBody());
      (from.equals(router) ? schedulerMessages : routerMessages).dispatch(from, m);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private void drain() {
    for (Runnable r = deliveries.poll(); r != null; r = deliveries.poll()) {
      r.run();
    }
  }

  private void acquire() {
    RequestId id = new RequestId(router, ++sequence);
    ClassId classId = new ClassId("c0");
    AccountId account = new AccountId("account-%04d".formatted(sequence % 57));
    client.acquire(
        new SlotRequest(id, SHARD, classId, account, 500, sequence, 0, true, 59_000), this);
  }

  private void endLease(Lease l) {
    client.end(
        new Outcome(
            l.request().id(),
            SHARD,
            l.number(),
            l.server().id(),
            LeaseEnd.FINISHED,
            120,
            264,
            9_000));
  }

  private void runCycle() {
    acquire();
    drain();
    leases.forEach(this::endLease);
    leases.clear();
    drain();
  }

  void measure() throws InterruptedException {
    settle();
    Meter.cpuMicros(WARM_UP_CYCLES, this::runCycle);
    sentBytes = 0;
    sentMessages = 0;
    double micros = Meter.cpuMicros(CYCLES, this::runCycle);
    Meter.print("slot request, grant and outcome: messages", sentMessages / (double) CYCLES, "");
    Meter.print("slot request, grant and outcome: bytes", sentBytes / (double) CYCLES, "bytes");
    Meter.print("slot request, grant and outcome: CPU, both sides", micros, "us");
    measureWaiters();
  }

  private void measureWaiters() {
    // FleetConfig gives each server 32 slots and each of its 4 services a quarter of the servers.
    int slots = 32 * SERVERS / 4;
    long emptyBytes = Meter.liveHeapBytes();
    for (int i = 0; i < slots; i++) {
      acquire();
    }
    drain();
    long leasedBytes = Meter.liveHeapBytes();
    Meter.print(
        "lease: heap, both sides", (leasedBytes - emptyBytes) / (double) leases.size(), "bytes");
    for (int i = 0; i < WAITERS; i++) {
      acquire();
    }
    drain();
    long waitingBytes = Meter.liveHeapBytes();
    Meter.print(
        "waiting request: heap, both sides",
        (waitingBytes - leasedBytes) / (double) WAITERS,
        "bytes");
    sentBytes = 0;
    double micros = Meter.cpuMicros(1, this::reRegister);
    Meter.print("registration of %d waiters: bytes".formatted(WAITERS), sentBytes, "bytes");
    Meter.print("registration of %d waiters: CPU, both sides".formatted(WAITERS), micros, "us");
  }

  private void reRegister() {
    client.handleResync(scheduler, 0, SHARD);
    drain();
  }

  @Override
  public void granted(Lease lease) {
    leases.add(lease);
  }

  @Override
  public void refused(RefusalReason reason, long retryAfterMillis) {
    throw new IllegalStateException("refused: " + reason);
  }

  @Override
  public void preempted() {}
}
