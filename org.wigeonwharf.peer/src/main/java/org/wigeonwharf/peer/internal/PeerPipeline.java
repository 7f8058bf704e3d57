package org.wigeonwharf.peer.internal;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.wire.Frame;

/** Installs the channel handlers of a peer connection. */
final class PeerPipeline {
  private static final int MAX_CONSOLIDATED_FLUSHES = 64;

  private PeerPipeline() {}

  static void build(
      ChannelPipeline pipeline,
      PeerConnections connections,
      Peer self,
      FleetSecret secret,
      boolean dialed) {
    pipeline
        .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
        .addLast(new PeerFrameDecoder())
        .addLast(new LengthFieldPrepender(PeerFrameDecoder.LENGTH_FIELD_BYTES))
        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
        .addLast(new ProtobufEncoder())
        .addLast(new PeerChannelHandler(connections, self, secret, dialed));
  }
}
