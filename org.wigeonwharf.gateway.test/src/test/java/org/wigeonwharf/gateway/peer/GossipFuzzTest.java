package org.wigeonwharf.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.limit.LimitLog;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.peer.wire.RouterNews;
import org.wigeonwharf.gateway.peer.wire.SignedNews;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.quarantine.QuarantineLog;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/**
 * Guards against signed messages of a faulty or newer build that stop a router's exchange with its
 * peers, withhold sound requests or grow its state without bound.
 */
class GossipFuzzTest {
  private static final FleetSecret SECRET = new FleetSecret("secret-of-this-fleet");

  private long now = Clock.NANOS_PER_SECOND;
  private int longestMessage;

  private byte[] sign(byte[] news) {
    return SignedNews.newBuilder()
        .setNews(ByteString.copyFrom(news))
        .setSignature(ByteString.copyFrom(SECRET.sign(news)))
        .build()
        .toByteArray();
  }

  /** Fills a message with arbitrary values of the right types. */
  private static Message fill(Message.Builder builder, Random random, int depth) {
    for (FieldDescriptor field : builder.getDescriptorForType().getFields()) {
      if (random.nextInt(4) == 0) {
        continue;
      }
      if (field.isRepeated()) {
        for (int i = random.nextInt(4); i > 0; i--) {
          builder.addRepeatedField(field, value(builder, field, random, depth));
        }
      } else {
        builder.setField(field, value(builder, field, random, depth));
      }
    }
    return builder.build();
  }

  private static Object value(
      Message.Builder builder, FieldDescriptor field, Random random, int depth) {
    return switch (field.getJavaType()) {
      case MESSAGE -> fill(builder.newBuilderForField(field), random, depth + 1);
      case STRING -> text(random);
      case BOOLEAN -> random.nextBoolean();
      case INT -> random.nextBoolean() ? random.nextInt() : random.nextInt(3);
      case LONG -> random.nextBoolean() ? random.nextLong() : random.nextInt(3);
      default -> throw new IllegalStateException(field.getFullName());
    };
  }

  private static String text(Random random) {
    return switch (random.nextInt(5)) {
      case 0 -> "";
      case 1 -> "127.0.0.1:" + random.nextInt(70_000);
      case 2 -> "d" + random.nextInt(3);
      case 3 -> "x".repeat(random.nextInt(2_000));
      default -> "s" + random.nextInt(50);
    };
  }

  @Property(tries = 100)
  void signedMessagesWithArbitraryContentDoNoHarm(@ForAll long seed) {
    Random random = new Random(seed);
    PromptQuarantine quarantine =
        new PromptQuarantine(new QuarantineLog(new MetricRegistry()), random, now);
    ServerLimits limits =
        new ServerLimits(new LimitLog(new MetricRegistry()), () -> 0, random, now);
    Evacuations evacuations = new Evacuations();
    VersionHistory versionHistory = new VersionHistory(() -> now);
    versionHistory.startWatching();
    StreamOrigins streamOrigins = new StreamOrigins();
    PeerGossip gossip =
        new PeerGossip(
            new NodeId("vm1", 1),
            new FailureDomain("d1"),
            new InetSocketAddress("127.0.0.1", 7_001),
            List.of(),
            new InFlightTracker(Clock.NANOS_PER_SECOND),
            new PrefixCacheIndex(),
            quarantine,
            limits,
            new EndedServers(),
            evacuations,
            streamOrigins,
            versionHistory,
            SECRET,
            () -> now,
            random,
            (destination, datagram) -> longestMessage = Math.max(longestMessage, datagram.length),
            new RecordingStoreProgress());
    for (int i = 0; i < 100; i++) {
      now += 10 * Clock.NANOS_PER_MILLI;
      byte[] news = fill(RouterNews.newBuilder(), random, 0).toByteArray();
      if (random.nextInt(4) == 0) {
        news[random.nextInt(news.length)] = (byte) random.nextInt();
      }
      gossip.receive(sign(news));
      gossip.tick();
      quarantine.find(List.of("sound"), now);
      limits.waitMillis("s1", now);
      evacuations.isEvacuated(new FailureDomain("d1"));
      streamOrigins.record("request-" + i, "s" + random.nextInt(50), "v1", now);
      streamOrigins.size(now);
    }
    assertTrue(quarantine.find(List.of("sound"), now) == null);
    assertTrue(longestMessage <= GossipTransport.MAX_DATAGRAM_BYTES, longestMessage + " bytes");
  }
}
