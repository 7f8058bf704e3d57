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

class FrameFuzzTest {
  @Property(tries = 500, seed = "101")
  void bytesOfStrangersNeverReachHandlers(@ForAll @Size(max = 300) byte[] bytes) {
    PeerEnd end = new PeerEnd("b", PeerEnd.SECRET, false);
    end.read(bytes);
    assertEquals(List.of(), end.up);
    assertEquals(List.of(), end.received);
  }

  @Property(tries = 200, seed = "102")
  void longFrameBeforeProofClosesConnectionAtItsLength(
      @ForAll @IntRange(min = 4 * 1024 + 1) int length) {
    PeerEnd end = new PeerEnd("b", PeerEnd.SECRET, false);
    end.read(ByteBuffer.allocate(4).putInt(length).array());
    assertFalse(end.channel.isActive());
  }

  @Property(tries = 200, seed = "103")
  void framesArriveWholeAndInOrderHoweverTheyAreCut(
      @ForAll @IntRange(min = 1, max = 20) int count, @ForAll long seed) {
    PeerEnd end = proven();
    Random random = new Random(seed);
    List<String> sent = new ArrayList<>();
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    for (int i = 0; i < count; i++) {
      sent.add("m" + i + "x".repeat(random.nextInt(100)));
      stream.writeBytes(packet(sent.get(i)));
    }
    byte[] all = stream.toByteArray();
    for (int at = 0; at < all.length; ) {
      int next = Math.min(all.length, at + 1 + random.nextInt(40));
      end.read(Arrays.copyOfRange(all, at, next));
      at = next;
    }
    assertEquals(sent, end.received);
  }

  @Property(tries = 300, seed = "104")
  void damagedFrameOfPeerDoesNotBreakMoreThanItsConnection(
      @ForAll @IntRange(min = 0, max = 60) int place, @ForAll byte damage) {
    PeerEnd end = proven();
    byte[] frame = packet("a message of some length, long enough to be hit");
    frame[Math.min(place, frame.length - 1)] ^= damage;
    end.read(frame);
    assertTrue(end.received.size() <= 1);
    assertTrue(end.channel.isActive() || end.down.size() == 1);
  }

  private static PeerEnd proven() {
    PeerEnd a = new PeerEnd("a", PeerEnd.SECRET, true);
    PeerEnd b = new PeerEnd("b", PeerEnd.SECRET, false);
    PeerEnd.exchange(a, b);
    return b;
  }

  private static byte[] packet(String text) {
    ByteString content = ByteString.copyFromUtf8(text);
    Packet p = Packet.newBuilder().setTopic(Topic.CONFIG.number()).setBody(content).build();
    byte[] body = Frame.newBuilder().setPacket(p).build().toByteArray();
    return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
  }
}
