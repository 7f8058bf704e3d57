package org.wigeonwharf.peer.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.Addresses;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Hello;
import org.wigeonwharf.peer.wire.Packet;
import org.wigeonwharf.peer.wire.Proof;

/**
 * Authenticates one connection, then dispatches its packets.
 *
 * <p>Each side sends a hello with a fresh nonce, and proves the fleet secret by signing the other
 * side's nonce, its own role (dialer or acceptor) and its own hello. The nonce prevents replay; the
 * role prevents reflection and relaying between two connections of the same role.
 */
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame> {
  private static final Logger LOG = LoggerFactory.getLogger(PeerChannelHandler.class);

  /** Maximum time from the opening of a connection to a valid proof from the remote side. */
  static final long HANDSHAKE_TIMEOUT_MILLIS = 2_000;

  private static final int NONCE_BYTES = 16;
  private static final byte[] DIALER_ROLE = {1};
  private static final byte[] ACCEPTOR_ROLE = {2};
  private static final SecureRandom RANDOM = new SecureRandom();

  private final PeerConnections connections;
  private final Peer self;
  private final FleetSecret secret;
  private final boolean dialed;

  private @Nullable Hello localHello;
  private @Nullable Hello remoteHello;
  private @Nullable Peer peer;
  private @Nullable Future<?> handshakeTimeout;
  private boolean rejected;

  PeerChannelHandler(PeerConnections connections, Peer self, FleetSecret secret, boolean dialed) {
    this.connections = connections;
    this.self = self;
    this.secret = secret;
    this.dialed = dialed;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    Hello hello =
        Hello.newBuilder()
            .setNodeName(self.node().name())
            .setIncarnation(self.node().incarnation())
            .setFailureDomain(self.domain().value())
            .setPeerAddress(Addresses.format(self.address()))
            .setNonce(ByteString.copyFrom(nonce))
            .build();
    localHello = hello;
    ctx.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    handshakeTimeout =
        ctx.executor()
            .schedule(
                () -> reject(ctx, "handshake timeout"),
                HANDSHAKE_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
    if (rejected) {
      // One read may hold thousands of frames behind the rejected one.
      return;
    }
    switch (frame.getKindCase()) {
      case HELLO -> receiveHello(ctx, frame.getHello());
      case PROOF -> receiveProof(ctx, frame.getProof());
      case PACKET -> receivePacket(ctx, frame.getPacket());
      default -> reject(ctx, "empty frame");
    }
  }

  private void receiveHello(ChannelHandlerContext ctx, Hello hello) {
    if (remoteHello != null || localHello == null) {
      reject(ctx, "unexpected hello");
      return;
    }
    if (hello.getNonce().size() != NONCE_BYTES) {
      reject(ctx, "invalid nonce length");
      return;
    }
    remoteHello = hello;
    byte[] mac =
        secret.sign(hello.getNonce().toByteArray(), role(dialed), localHello.toByteArray());
    ctx.writeAndFlush(
        Frame.newBuilder().setProof(Proof.newBuilder().setMac(ByteString.copyFrom(mac))).build());
  }

  private void receiveProof(ChannelHandlerContext ctx, Proof proof) {
    if (remoteHello == null || localHello == null || peer != null) {
      reject(ctx, "proof out of order");
      return;
    }
    boolean verified =
        secret.verify(
            proof.getMac().toByteArray(),
            localHello.getNonce().toByteArray(),
            role(!dialed),
            remoteHello.toByteArray());
    if (!verified) {
      reject(ctx, "proof does not match the fleet secret");
      return;
    }
    Peer p = toPeer(remoteHello);
    if (p == null || p.node().equals(self.node())) {
      reject(ctx, "hello is invalid or from this process");
      return;
    }
    peer = p;
    cancelHandshakeTimeout();
    PeerFrameDecoder decoder = ctx.pipeline().get(PeerFrameDecoder.class);
    if (decoder != null) {
      decoder.markAuthenticated();
    }
    connections.connectionOpened(p, ctx.channel());
  }

  private static @Nullable Peer toPeer(Hello hello) {
    try {
      InetSocketAddress address = Addresses.parse(hello.getPeerAddress());
      return new Peer(
          new NodeId(hello.getNodeName(), hello.getIncarnation()),
          new FailureDomain(hello.getFailureDomain()),
          address);
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private void receivePacket(ChannelHandlerContext ctx, Packet packet) {
    if (peer == null) {
      reject(ctx, "packet before proof");
      return;
    }
    try {
      connections.dispatch(peer, packet.getTopic(), packet.getBody().toByteArray());
    } catch (InvalidProtocolBufferException e) {
      reject(ctx, "malformed packet body");
    }
  }

  private void reject(ChannelHandlerContext ctx, String reason) {
    rejected = true;
    LOG.atWarn()
        .addKeyValue("event", "peer.rejected")
        .addKeyValue("remote", String.valueOf(ctx.channel().remoteAddress()))
        .addKeyValue("reason", reason)
        .log("peer connection rejected");
    ctx.close();
  }

  private void cancelHandshakeTimeout() {
    Future<?> timeout = handshakeTimeout;
    if (timeout != null) {
      timeout.cancel(false);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelHandshakeTimeout();
    if (peer != null) {
      connections.connectionClosed(peer, ctx.channel());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.atDebug()
        .setCause(cause)
        .addKeyValue("event", "peer.failed")
        .log("peer connection failed; closing it");
    ctx.close();
  }

  private static byte[] role(boolean dialer) {
    return dialer ? DIALER_ROLE : ACCEPTOR_ROLE;
  }
}
