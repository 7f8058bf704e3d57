package org.wigeonwharf.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.Topic;

/** One endpoint of an in-memory peer connection, with the production pipeline. */
final class PeerEndpoint implements PeerListener {
  static final String SECRET = "a shared fleet secret";

  final PeerConnections connections = new PeerConnections();
  final List<Peer> up = new ArrayList<>();
  final List<Peer> down = new ArrayList<>();
  final List<String> received = new ArrayList<>();
  final MockTicker ticker = Ticker.newMockTicker();
  final EmbeddedChannel channel;

  PeerEndpoint(String name, String secret, boolean dialed) {
    connections.addListener(this);
    connections.registerHandler(Topic.CONFIG, (from, body) -> received.add(new String(body)));
    Peer self =
        new Peer(
            new NodeId(name, 1), new FailureDomain("d"), new InetSocketAddress("127.0.0.1", 9));
    FleetSecret fleetSecret = new FleetSecret(secret);
    ChannelInitializer<Channel> handlers =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel c) {
            PeerPipeline.build(c.pipeline(), connections, self, fleetSecret, dialed);
          }
        };
    channel = EmbeddedChannel.builder().ticker(ticker).handlers(handlers).build();
  }

  /** Removes and returns all bytes written so far. */
  byte[] drainOutbound() {
    ByteBuf all = Unpooled.buffer();
    for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
      all.writeBytes(b);
      b.release();
    }
    byte[] bytes = new byte[all.readableBytes()];
    all.readBytes(bytes);
    return bytes;
  }

  void receive(byte[] bytes) {
    if (bytes.length > 0 && channel.isActive()) {
      channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    }
  }

  /** Passes written bytes in both directions until the handshake is complete. */
  static void exchange(PeerEndpoint a, PeerEndpoint b) {
    for (int i = 0; i < 4; i++) {
      b.receive(a.drainOutbound());
      a.receive(b.drainOutbound());
    }
  }

  @Override
  public void peerUp(Peer peer) {
    up.add(peer);
  }

  @Override
  public void peerDown(Peer peer) {
    down.add(peer);
  }
}
