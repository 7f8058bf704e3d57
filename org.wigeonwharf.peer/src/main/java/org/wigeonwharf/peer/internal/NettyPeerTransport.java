package org.wigeonwharf.peer.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonwharf.model.FailureDomain;
import org.wigeonwharf.model.NodeId;
import org.wigeonwharf.peer.FleetSecret;
import org.wigeonwharf.peer.Peer;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerMessageHandler;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;

/** Carries peer messages as length-prefixed protobuf frames over TCP. */
public final class NettyPeerTransport implements PeerTransport {
  /** Maximum length of a received frame, in bytes; a whole configuration snapshot fits. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(NettyPeerTransport.class);

  /** Maximum size of a connection's write buffer, in bytes; beyond it the connection is closed. */
  public static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

  private static final int EVENT_LOOP_THREADS = 2;
  private static final WriteBufferWaterMark UNSENT_WATER_MARK =
      new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long REDIAL_INTERVAL_MILLIS = 250;

  private final NodeId node;
  private final FailureDomain domain;
  private final InetSocketAddress bindAddress;
  private final FleetSecret secret;
  private final PeerConnections connections = new PeerConnections();
  private final Set<InetSocketAddress> targetAddresses = ConcurrentHashMap.newKeySet();
  private final Set<InetSocketAddress> dialingAddresses = ConcurrentHashMap.newKeySet();

  private volatile @Nullable EventLoopGroup group;
  private volatile @Nullable EventLoop selfDeliveryLoop;
  private volatile @Nullable Peer self;

  /**
   * Creates a transport that is not yet bound.
   *
   * @param node the identity of this process
   * @param domain the failure domain of this process
   * @param bindAddress the address on which to accept peers; port 0 selects a free port
   * @param secret the fleet secret
   */
  public NettyPeerTransport(
      NodeId node, FailureDomain domain, InetSocketAddress bindAddress, FleetSecret secret) {
    this.node = node;
    this.domain = domain;
    this.bindAddress = bindAddress;
    this.secret = secret;
  }

  @Override
  public Peer self() {
    Peer s = self;
    if (s == null) {
      throw new IllegalStateException("peer transport has not started");
    }
    return s;
  }

  @Override
  public void registerHandler(Topic topic, PeerMessageHandler handler) {
    connections.registerHandler(topic, handler);
  }

  @Override
  public void addListener(PeerListener listener) {
    connections.addListener(listener);
  }

  @Override
  public void start() throws InterruptedException {
    EventLoopGroup g =
        new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    group = g;
    selfDeliveryLoop = g.next();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(g)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_WATER_MARK)
            .childHandler(pipelineInitializer(false));
    Channel serverChannel = bootstrap.bind(bindAddress).sync().channel();
    self = new Peer(node, domain, (InetSocketAddress) serverChannel.localAddress());
    g.scheduleWithFixedDelay(this::dialMissing, 0, REDIAL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    EventLoopGroup g = group;
    if (g == null) {
      return;
    }
    group = null;
    targetAddresses.clear();
    g.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
  }

  @Override
  public void connectTo(Collection<InetSocketAddress> addresses) {
    targetAddresses.retainAll(addresses);
    targetAddresses.addAll(addresses);
    targetAddresses.remove(self().address());
  }

  @Override
  public boolean send(NodeId to, Topic topic, byte[] body) {
    if (to.equals(node)) {
      return sendToSelf(topic, body);
    }
    Packet packet =
        Packet.newBuilder().setTopic(topic.number()).setBody(ByteString.copyFrom(body)).build();
    return connections.send(to, Frame.newBuilder().setPacket(packet).build());
  }

  private boolean sendToSelf(Topic topic, byte[] body) {
    EventLoop loop = selfDeliveryLoop;
    if (loop == null || loop.isShuttingDown()) {
      return false;
    }
    try {
      loop.execute(() -> dispatchToSelf(topic, body));
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  private void dispatchToSelf(Topic topic, byte[] body) {
    try {
      connections.dispatch(self(), topic.number(), body);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("message to this process cannot be parsed", e);
    }
  }

  @Override
  public Collection<Peer> peers() {
    return connections.peers();
  }

  private void dialMissing() {
    EventLoopGroup g = group;
    if (g == null) {
      return;
    }
    for (InetSocketAddress address : targetAddresses) {
      if (!connections.isConnectedTo(address) && dialingAddresses.add(address)) {
        dial(g, address);
      }
    }
  }

  private void dial(EventLoopGroup g, InetSocketAddress address) {
    new Bootstrap()
        .group(g)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_WATER_MARK)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(pipelineInitializer(true))
        .connect(address)
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                LOG.atDebug().addKeyValue("event", "peer.unreachable").log("{}", address);
              }
            })
        .channel()
        .closeFuture()
        .addListener(f -> dialingAddresses.remove(address));
  }

  private ChannelInitializer<SocketChannel> pipelineInitializer(boolean dialed) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        PeerPipeline.build(ch.pipeline(), connections, self(), secret, dialed);
      }
    };
  }
}
