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

/** A PeerExchange carries the news between routers as datagrams. */
public final class GossipTransport {
  /** Time in ms between two looks for news to send; as fine as the least time between messages. */
  private static final long TICK_INTERVAL_MILLIS = 20;

  private final EventLoop loop;
  private final InetSocketAddress bindAddress;
  private final PeerGossip gossip;
  private @Nullable Channel channel;
  private @Nullable Future<?> tickTask;

  /**
   * Creates an exchange that is not yet bound.
   *
   * @param loop runs everything
   * @param self the own process
   * @param domain the own failure domain
   * @param bindAddress where other routers reach this one
   * @param seeds where some routers may be found
   * @param inFlight the work to tell, and where to note that of others
   * @param prefixCaches the prompts that engines have read, to tell and to note
   * @param secret signs messages
   * @param clock monotonic time
   * @param configVersion the version of the routes in force
   * @param onNewerConfig called when another router has a newer version
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
   * Binds and begins to tell and to listen.
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
                    // An unreachable peer shows here; its silence is what counts.
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

  /** Returns what is known of the other routers. */
  public PeerGossip gossip() {
    return gossip;
  }

  /** Says goodbye and closes; called on the event loop. */
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
