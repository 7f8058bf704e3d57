package org.wigeonwharf.peer.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;

/**
 * Guards against a connection that exchanges packets without proving the fleet secret: a wrong
 * secret, a packet before the proof, and handshake messages reflected, relayed from another
 * connection or replayed. Also guards against unauthenticated connections that are never closed and
 * against unbounded write buffers of slow peers.
 */
class PeerHandshakeTest {
  private static final String OTHER_SECRET = "another fleet's secret";

  private static byte[] encodePacket(String text) {
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

  private static void assertRejected(PeerEndpoint endpoint) {
    assertEquals(List.of(), endpoint.up);
    assertEquals(List.of(), endpoint.received);
    assertFalse(endpoint.channel.isActive());
  }

  @Test
  void peersWithSameSecretExchangePackets() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    b.receive(encodePacket("hello"));
    assertEquals("b", a.up.get(0).node().name());
    assertEquals(List.of("hello"), b.received);
  }

  @Test
  void wrongSecretIsRejected() {
    PeerEndpoint a = new PeerEndpoint("a", OTHER_SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    b.receive(encodePacket("hello"));
    assertRejected(b);
    assertRejected(a);
  }

  @Test
  void packetBeforeProofIsRejected() {
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    b.receive(encodePacket("hello"));
    assertRejected(b);
  }

  // Guards against frames behind a rejected one that are each handled and logged.
  @Test
  void framesBehindRejectedOneAreIgnored() {
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    AtomicInteger closes = new AtomicInteger();
    // A socket's close also takes effect only after the bytes of the current read are decoded.
    b.channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
                closes.incrementAndGet();
              }
            });
    b.receive(new byte[10_000 * 4]);
    assertEquals(1, closes.get());
    assertEquals(List.of(), b.up);
  }

  @Test
  void reflectedHandshakeIsRejected() {
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    for (int i = 0; i < 3; i++) {
      b.receive(b.drainOutbound());
    }
    assertRejected(b);
  }

  @Test
  void handshakeRelayedBetweenTwoAcceptorsIsRejected() {
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint c = new PeerEndpoint("c", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(b, c);
    assertRejected(b);
    assertRejected(c);
  }

  @Test
  void replayedHandshakeIsRejected() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    byte[] hello = a.drainOutbound();
    b.receive(hello);
    a.receive(b.drainOutbound());
    byte[] proof = a.drainOutbound();
    b.receive(proof);
    assertEquals(1, b.up.size());
    PeerEndpoint replayTarget = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    replayTarget.receive(hello);
    replayTarget.receive(proof);
    assertRejected(replayTarget);
  }

  @Test
  void connectionWithOwnIdentityIsRejected() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("a", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    assertRejected(b);
  }

  @Test
  void unauthenticatedConnectionIsClosedAfterHandshakeTimeout() {
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    b.ticker.advance(1_999, TimeUnit.MILLISECONDS);
    b.channel.runScheduledPendingTasks();
    assertTrue(b.channel.isActive());
    b.ticker.advance(2, TimeUnit.MILLISECONDS);
    b.channel.runScheduledPendingTasks();
    assertFalse(b.channel.isActive());
  }

  @Test
  void authenticatedConnectionStaysOpenAfterHandshakeTimeout() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    b.ticker.advance(9_000, TimeUnit.MILLISECONDS);
    b.channel.runScheduledPendingTasks();
    assertTrue(b.channel.isActive());
  }

  @Test
  void peerStaysUpUntilItsLastConnectionCloses() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    EmbeddedChannel second = new EmbeddedChannel();
    a.connections.connectionOpened(a.up.get(0), second);
    a.connections.connectionClosed(a.up.get(0), second);
    assertEquals(1, a.up.size());
    assertEquals(0, a.down.size());
    a.channel.close();
    assertEquals(1, a.down.size());
  }

  @Test
  void connectionOfSlowPeerIsClosedWhenItsWriteBufferIsFull() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    NodeId to = a.up.get(0).node();
    assertTrue(a.connections.send(to, Frame.getDefaultInstance()));
    a.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    assertFalse(a.connections.send(to, Frame.getDefaultInstance()));
    a.channel.runPendingTasks();
    assertEquals(1, a.down.size());
  }
}
