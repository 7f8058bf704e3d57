package org.wigeonwharf.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/** Sends and receives the messages of the gossip protocol as UDP datagrams. */
public final class GossipTransport {
  /**
   * Time in ms between two checks for due messages, equal to the minimum time between two messages.
   */
  private static final long TICK_INTERVAL_MILLIS = 20;

  private final EventLoop loop;
  private final InetSocketAddress bindAddress;
  private final PeerGossip gossip;
  private @Nullable Channel channel;
  private @Nullable Future<?> tickTask;

  /**
   * Creates a transport that is not yet bound.
   *
   * @param loop the event loop of the channel and of the gossip protocol
   * @param self this process
   * @param domain this router's failure domain
   * @param bindAddress the address at which other routers reach this one
   * @param seeds addresses of some routers, for discovery
   * @param inFlight supplies this router's in-flight work and receives that of its peers
   * @param prefixCaches supplies this router's prompt sends and receives those of its peers
   * @param secret signs and verifies messages
   * @param clock monotonic clock
   * @param configVersion supplies the version of the active configuration
   * @param onNewerConfig called with the version of a peer's configuration if it is newer
   */
  public GossipTransport(
      EventLoop loop,
      NodeId self,
      FailureDomain domain,
      InetSocketAddress bindAddress,
      List<InetSocketAddress> seeds,
      InFlightTracker inFlight,
      PrefixCacheIndex prefixCaches,
      FleetSecret secret,
      Clock clock,
      LongSupplier configVersion,
      LongConsumer onNewerConfig) {
    this.loop = loop;
    this.bindAddress = bindAddress;
    this.gossip =
        new PeerGossip(
            self,
            domain,
            bindAddress,
            seeds,
            inFlight,
            prefixCaches,
            secret,
            clock,
            new Random(self.incarnation()),
            this::send,
            configVersion,
            onNewerConfig);
  }

  /**
   * Binds the channel and starts to send and receive messages.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void start() throws InterruptedException {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    gossip.receive(ByteBufUtil.getBytes(packet.content()));
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    // Unreachable peers cause exceptions as well; they are removed by their
                    // timeout.
                  }
                })
            .bind(bindAddress)
            .sync()
            .channel();
    tickTask =
        loop.scheduleWithFixedDelay(gossip::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void send(InetSocketAddress destination, byte[] datagram) {
    Channel c = channel;
    if (c != null) {
      c.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), destination));
    }
  }

  /** Returns the gossip protocol, which may be used on the event loop only. */
  public PeerGossip gossip() {
    return gossip;
  }

  /** Announces that this router is leaving and closes the channel; called on the event loop. */
  public void stop() {
    if (tickTask != null) {
      tickTask.cancel(false);
    }
    gossip.announceLeave();
    if (channel != null) {
      channel.close();
    }
  }
}
