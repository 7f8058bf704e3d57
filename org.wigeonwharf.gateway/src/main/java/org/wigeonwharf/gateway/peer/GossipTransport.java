package org.wigeonwharf.gateway.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.gateway.backend.EndedServers;
import org.wigeonwharf.gateway.evacuation.Evacuations;
import org.wigeonwharf.gateway.feed.StoreChanges;
import org.wigeonwharf.gateway.feed.StoreProgress;
import org.wigeonwharf.gateway.limit.ServerLimits;
import org.wigeonwharf.gateway.placement.InFlightTracker;
import org.wigeonwharf.gateway.placement.PrefixCacheIndex;
import org.wigeonwharf.gateway.quarantine.PromptQuarantine;
import org.wigeonwharf.gateway.stream.StreamOrigins;
import org.wigeonwharf.gateway.stream.VersionHistory;
import org.wigeonwharf.model.Clock;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;

/** Sends and receives the messages of the gossip protocol as UDP datagrams. */
public final class GossipTransport {
  /** Size in bytes of the receive buffer, above that of the largest message. */
  static final int MAX_DATAGRAM_BYTES = 32 * 1024;

  /** Minimum time between two ticks, which keeps a failing one from running without pause. */
  private static final long MIN_TICK_INTERVAL_NANOS = Clock.NANOS_PER_MILLI;

  private static final Logger LOG = LoggerFactory.getLogger(GossipTransport.class);

  private final EventLoop loop;
  private final InetSocketAddress bindAddress;
  private final PeerGossip gossip;
  private final Clock clock;
  private @Nullable Channel channel;
  private @Nullable Future<?> tickTask;
  private long tickAt;
  private boolean stopped;

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
   * @param quarantine supplies and receives what is known of prompts that crash servers
   * @param limits supplies and receives the limits of servers and the demand for them
   * @param endedServers supplies and receives the servers that no longer answer
   * @param evacuations supplies and receives the evacuated failure domains
   * @param streamOrigins supplies this router's streams and receives those of its peers
   * @param versionHistory supplies and receives the software versions that have served
   * @param secret signs and verifies messages
   * @param clock monotonic clock
   * @param store exchanges what the routers have read from the store
   */
  public GossipTransport(
      EventLoop loop,
      NodeId self,
      FailureDomain domain,
      InetSocketAddress bindAddress,
      List<InetSocketAddress> seeds,
      InFlightTracker inFlight,
      PrefixCacheIndex prefixCaches,
      PromptQuarantine quarantine,
      ServerLimits limits,
      EndedServers endedServers,
      Evacuations evacuations,
      StreamOrigins streamOrigins,
      VersionHistory versionHistory,
      FleetSecret secret,
      Clock clock,
      StoreProgress store) {
    this.loop = loop;
    this.bindAddress = bindAddress;
    this.clock = clock;
    this.gossip =
        new PeerGossip(
            self,
            domain,
            bindAddress,
            seeds,
            inFlight,
            prefixCaches,
            quarantine,
            limits,
            endedServers,
            evacuations,
            streamOrigins,
            versionHistory,
            secret,
            clock,
            new Random(self.incarnation()),
            this::send,
            store);
    inFlight.onLocalChange(this::scheduleTick);
    quarantine.onChange(this::scheduleTick);
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
            .option(
                ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                    gossip.receive(ByteBufUtil.getBytes(packet.content()));
                    if (gossip.hasNewsToForward()) {
                      scheduleTick();
                    }
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                    // Unreachable peers cause exceptions too; their timeout removes them.
                    LOG.debug("gossip channel failed", cause);
                  }
                })
            .bind(bindAddress)
            .sync()
            .channel();
    loop.execute(this::tick);
  }

  private void tick() {
    tickTask = null;
    try {
      gossip.tick();
    } catch (RuntimeException e) {
      LOG.atError()
          .addKeyValue("event", "peer.tick_failed")
          .addKeyValue("reason", String.valueOf(e))
          .setCause(e)
          .log("sending gossip messages failed");
    }
    scheduleTick();
  }

  /** Schedules the next tick; an earlier one than the pending replaces it. */
  private void scheduleTick() {
    if (stopped || channel == null) {
      return;
    }
    long now = clock.nanos();
    long at = Math.max(gossip.nextTickAt(), now + MIN_TICK_INTERVAL_NANOS);
    Future<?> pending = tickTask;
    if (pending != null) {
      if (tickAt - at <= 0) {
        return;
      }
      pending.cancel(false);
    }
    tickAt = at;
    tickTask = loop.schedule(this::tick, at - now, TimeUnit.NANOSECONDS);
  }

  private void send(InetSocketAddress destination, byte[] datagram) {
    Channel c = channel;
    if (c != null) {
      c.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), destination));
    }
  }

  /**
   * Sends changes of the store to the routers of the same failure domain.
   *
   * @param changes the changes
   */
  public void passOn(StoreChanges changes) {
    gossip.passOn(changes);
    scheduleTick();
  }

  /** Returns the gossip protocol, which may be used on the event loop only. */
  public PeerGossip gossip() {
    return gossip;
  }

  /** Announces that this router is leaving and closes the channel; called on the event loop. */
  public void stop() {
    stopped = true;
    if (tickTask != null) {
      tickTask.cancel(false);
    }
    gossip.announceLeave();
    if (channel != null) {
      channel.close();
    }
  }
}
