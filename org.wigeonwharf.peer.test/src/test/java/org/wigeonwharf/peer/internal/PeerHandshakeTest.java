package org.wigeonwharf.peer.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;

class PeerHandshakeTest {
  private static final String OTHER_SECRET = "another fleet's secret";

  private static byte[] packet(String text) {
    Frame frame =
        Frame.newBuilder()
            .setPacket(
                Packet.newBuilder()
                    .setTopic(Topic.CONFIG.number())
                    .setBody(ByteString.copyFromUtf8(text)))
            .build();
    byte[] body = frame.toByteArray();
    return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
  }

  private static void assertGotNothing(PeerEnd end) {
    assertEquals(List.of(), end.up);
    assertEquals(List.of(), end.received);
    assertFalse(end.channel.isActive());
  }

  @Test
  void endsWithSameSecretExchangePackets() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    b.read(packet("hello"));
    assertEquals("b", a.up.get(0).node().name());
    assertEquals(List.of("hello"), b.received);
  }

  @Test
  void wrongSecretGetsNothing() {
    PeerEnd a = new PeerEnd("a", OTHER_SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    b.read(packet("hello"));
    assertGotNothing(b);
    assertGotNothing(a);
  }

  @Test
  void packetBeforeProofGetsNothing() {
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    b.read(packet("hello"));
    assertGotNothing(b);
  }

  @Test
  void reflectedHandshakeGetsNothing() {
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    for (int i = 0; i < 3; i++) {
      b.read(b.written());
    }
    assertGotNothing(b);
  }

  @Test
  void handshakeReflectedFromOtherConnectionOfSameRoleGetsNothing() {
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd c = new PeerEnd("c", PeerEnd.SECRET, false);
    PeerEnd.exchange(b, c);
    assertGotNothing(b);
    assertGotNothing(c);
  }

  @Test
  void replayedHandshakeGetsNothing() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    byte[] hello = a.written();
    b.read(hello);
    a.read(b.written());
    byte[] proof = a.written();
    b.read(proof);
    assertEquals(1, b.up.size());
    PeerEnd again = new PeerEnd("b", PeerEnd.SECRET, false);
    again.read(hello);
    again.read(proof);
    assertGotNothing(again);
  }

  @Test
  void ownIdentityIsNoPeer() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("a", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    assertGotNothing(b);
  }

  @Test
  void silentConnectionIsClosedAfterHandshakeTimeout() {
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    b.time.advance(1_999, TimeUnit.MILLISECONDS);
    b.channel.runScheduledPendingTasks();
    assertTrue(b.channel.isActive());
    b.time.advance(2, TimeUnit.MILLISECONDS);
    b.channel.runScheduledPendingTasks();
    assertFalse(b.channel.isActive());
  }

  @Test
  void provenConnectionOutlivesHandshakeTimeout() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    b.time.advance(9_000, TimeUnit.MILLISECONDS);
    b.channel.runScheduledPendingTasks();
    assertTrue(b.channel.isActive());
  }

  @Test
  void peerIsUpUntilTheLastOfItsConnectionsCloses() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    EmbeddedChannel second = new EmbeddedChannel();
    a.links.opened(a.up.get(0), second);
    a.links.closed(a.up.get(0), second);
    assertEquals(1, a.up.size());
    assertEquals(0, a.down.size());
    a.channel.close();
    assertEquals(1, a.down.size());
  }

  @Test
  void connectionOfSlowPeerIsDroppedInsteadOfPilingUpMemory() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    NodeId to = a.up.get(0).node();
    assertTrue(a.links.send(to, Frame.getDefaultInstance()));
    a.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    assertFalse(a.links.send(to, Frame.getDefaultInstance()));
    a.channel.runPendingTasks();
    assertEquals(1, a.down.size());
  }
}
