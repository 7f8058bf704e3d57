package org.wigeonwharf.standin.capacity;

import com.google.protobuf.ByteString;
import java.lang.ref.Reference;
import java.net.InetSocketAddress;
import java.util.List;
import org.wigeonwharf.config.PublishedConfig;
import org.wigeonwharf.config.SettingsFile;
import org.wigeonwharf.membership.LivenessTracker;
import org.wigeonwharf.membership.RendezvousHash;
import org.wigeonwharf.membership.wire.Heartbeat;
import org.wigeonwharf.membership.wire.MembershipMessage;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;
import org.wigeonwharf.schedule.ShardMap;

/** Measures the cost of heartbeats, membership views and configuration changes. */
final class FleetCost {
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int DOMAINS = 14;
  private static final int SERVERS = 1_200;
  private static final int ACCOUNTS = 79;
  private static final int ITERATIONS = 2_000;
  private static final FailureDomain DOMAIN = new FailureDomain("domain-00");

  private FleetCost() {}

  static void measureHeartbeats() {
    Heartbeat h =
        Heartbeat.newBuilder()
            .setSequence(1_000_000)
            .setConfigRevision(59_000)
            .setPlatformContactAgeMillis(250)
            .build();
    byte[] body = MembershipMessage.newBuilder().setHeartbeat(h).build().toByteArray();
    Packet packet =
        Packet.newBuilder()
            .setTopic(Topic.MEMBERSHIP.number())
            .setBody(ByteString.copyFrom(body))
            .build();
    int bytes = Frame.newBuilder().setPacket(packet).build().toByteArray().length;
    Meter.print("heartbeat: bytes", bytes + LENGTH_FIELD_BYTES, "bytes");
    measureView(38);
    measureView(530);
  }

  private static void measureView(int routers) {
    LivenessTracker tracker = new LivenessTracker(peer(0));
    for (int i = 1; i < routers; i++) {
      tracker.peerUp(peer(i), 0);
    }
    Peer sender = peer(1);
    Meter.cpuMicros(ITERATIONS, () -> tracker.computeView(1, 1, 0));
    Meter.print(
        "view of %d routers: CPU".formatted(routers),
        Meter.cpuMicros(ITERATIONS, () -> tracker.computeView(1, 1, 0)),
        "us");
    Meter.print(
        "heartbeat noted among %d routers: CPU".formatted(routers),
        Meter.cpuMicros(ITERATIONS, () -> tracker.recordHeartbeat(sender, false, 1, 0, 1)),
        "us");
    List<NodeId> nodes = tracker.computeView(1, 1, 0).candidates(DOMAIN);
    Meter.print(
        "scheduler of a shard among %d routers: CPU".formatted(routers),
        Meter.cpuMicros(ITERATIONS, () -> RendezvousHash.choose("s0/domain-00/7", nodes)),
        "us");
  }

  private static Peer peer(int i) {
    NodeId node = new NodeId("entry-vm-%04d".formatted(i), 77);
    return new Peer(node, DOMAIN, new InetSocketAddress("127.0.0.1", 1 + i));
  }

  static void measureConfiguration() {
    List<SettingsFile> files = FleetConfig.settingsFiles(DOMAINS, SERVERS, ACCOUNTS);
    long size = files.stream().mapToLong(f -> f.bytes().length).sum();
    Meter.print("configuration of a tenth: bytes", size, "bytes");
    FleetConfig.parse(files);
    Meter.print(
        "configuration of a tenth parsed and checked: CPU",
        Meter.cpuMicros(5, () -> FleetConfig.parse(files)),
        "us");
    PublishedConfig config = FleetConfig.parse(files);
    Meter.print("shards computed: CPU", Meter.cpuMicros(5, () -> ShardMap.of(config)), "us");
    measureHeap(
        "server in the configuration: heap",
        SERVERS,
        FleetConfig.settingsFiles(DOMAINS, SERVERS, 1));
    int accounts = ACCOUNTS;
    measureHeap(
        "account in the configuration: heap",
        accounts,
        FleetConfig.settingsFiles(DOMAINS, 4, accounts));
  }

  private static void measureHeap(String name, int count, List<SettingsFile> files) {
    FleetConfig.parse(files);
    long before = Meter.liveHeapBytes();
    PublishedConfig config = FleetConfig.parse(files);
    Meter.print(name, (Meter.liveHeapBytes() - before) / (double) count, "bytes");
    Reference.reachabilityFence(config);
    Reference.reachabilityFence(files);
  }
}
