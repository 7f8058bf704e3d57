package org.wigeonwharf.peer.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;

/**
 * Guards against malformed input on a peer connection: bytes from an unauthenticated sender that
 * reach a handler, a length field that makes the decoder buffer a large frame before
 * authentication, frames lost or reordered when TCP fragments them, and a corrupted frame that
 * affects more than its own connection.
 */
class FrameFuzzTest {
  @Property(tries = 500, seed = "101")
  void unauthenticatedBytesNeverReachHandlers(@ForAll @Size(max = 300) byte[] bytes) {
    PeerEndpoint endpoint = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    endpoint.receive(bytes);
    assertEquals(List.of(), endpoint.up);
    assertEquals(List.of(), endpoint.received);
  }

  @Property(tries = 200, seed = "102")
  void oversizedFrameBeforeProofIsRejectedByItsLengthField(
      @ForAll @IntRange(min = 4 * 1024 + 1) int length) {
    PeerEndpoint endpoint = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    endpoint.receive(ByteBuffer.allocate(4).putInt(length).array());
    assertFalse(endpoint.channel.isActive());
  }

  @Property(tries = 200, seed = "103")
  void framesArriveCompleteAndInOrderForAnyFragmentation(
      @ForAll @IntRange(min = 1, max = 20) int count, @ForAll long seed) {
    PeerEndpoint endpoint = authenticatedEndpoint();
    Random random = new Random(seed);
    List<String> sent = new ArrayList<>();
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    for (int i = 0; i < count; i++) {
      sent.add("m" + i + "x".repeat(random.nextInt(100)));
      stream.writeBytes(encodePacket(sent.get(i)));
    }
    byte[] all = stream.toByteArray();
    for (int start = 0; start < all.length; ) {
      int end = Math.min(all.length, start + 1 + random.nextInt(40));
      endpoint.receive(Arrays.copyOfRange(all, start, end));
      start = end;
    }
    assertEquals(sent, endpoint.received);
  }

  @Property(tries = 300, seed = "104")
  void corruptedFrameAffectsAtMostItsOwnConnection(
      @ForAll @IntRange(min = 0, max = 60) int offset, @ForAll byte xorMask) {
    PeerEndpoint endpoint = authenticatedEndpoint();
    byte[] frame = encodePacket("a message of some length, long enough to be hit");
    frame[Math.min(offset, frame.length - 1)] ^= xorMask;
    endpoint.receive(frame);
    assertTrue(endpoint.received.size() <= 1);
    assertTrue(endpoint.channel.isActive() || endpoint.down.size() == 1);
  }

  private static PeerEndpoint authenticatedEndpoint() {
    PeerEndpoint a = new PeerEndpoint("a", PeerEndpoint.SECRET, true);
    PeerEndpoint b = new PeerEndpoint("b", PeerEndpoint.SECRET, false);
    PeerEndpoint.exchange(a, b);
    return b;
  }

  private static byte[] encodePacket(String text) {
    ByteString content = ByteString.copyFromUtf8(text);
    Packet packet = Packet.newBuilder().setTopic(Topic.CONFIG.number()).setBody(content).build();
    byte[] body = Frame.newBuilder().setPacket(packet).build().toByteArray();
    return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
  }
}
