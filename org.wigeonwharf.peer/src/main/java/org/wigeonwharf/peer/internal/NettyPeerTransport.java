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
import org.wigeonwharf.peer.PeerHandler;
import org.wigeonwharf.peer.PeerListener;
import org.wigeonwharf.peer.PeerTransport;
import org.wigeonwharf.peer.Topic;
import org.wigeonwharf.peer.wire.Frame;
import org.wigeonwharf.peer.wire.Packet;

/** A NettyPeerTransport carries peer messages as length-prefixed protobuf frames over TCP. */
public final class NettyPeerTransport implements PeerTransport {
  /** Longest frame accepted, in bytes: a whole configuration snapshot fits. */
  public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final Logger LOG = LoggerFactory.getLogger(NettyPeerTransport.class);

  /** Bytes waiting to be sent to one peer beyond which its connection is dropped. */
  public static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

  private static final int THREADS = 2;
  private static final WriteBufferWaterMark UNSENT_LIMIT =
      new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES);
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long REDIAL_MILLIS = 250;

  private final NodeId node;
  private final FailureDomain domain;
  private final InetSocketAddress bindAddress;
  private final FleetSecret secret;
  private final Links links = new Links();
  private final Set<InetSocketAddress> wanted = ConcurrentHashMap.newKeySet();
  private final Set<InetSocketAddress> dialing = ConcurrentHashMap.newKeySet();

  private volatile @Nullable EventLoopGroup group;
  private volatile @Nullable EventLoop selfLoop;
  private volatile @Nullable Peer self;

  /**
   * Creates a transport that is not yet bound.
   *
   * @param node the own process
   * @param domain the own failure domain
   * @param bindAddress where to accept peers; port 0 lets the system choose
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
      throw new IllegalStateException("the transport has not started");
    }
    return s;
  }

  @Override
  public void handle(Topic topic, PeerHandler handler) {
    links.handle(topic, handler);
  }

  @Override
  public void listen(PeerListener listener) {
    links.listen(listener);
  }

  @Override
  public void start() throws InterruptedException {
    EventLoopGroup g = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    group = g;
    selfLoop = g.next();
    ServerBootstrap boot =
        new ServerBootstrap()
            .group(g)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_LIMIT)
            .childHandler(pipeline(false));
    Channel bound = boot.bind(bindAddress).sync().channel();
    self = new Peer(node, domain, (InetSocketAddress) bound.localAddress());
    g.scheduleWithFixedDelay(this::dialMissing, 0, REDIAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    EventLoopGroup g = group;
    if (g == null) {
      return;
    }
    group = null;
    wanted.clear();
    g.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
  }

  @Override
  public void connectTo(Collection<InetSocketAddress> addresses) {
    wanted.retainAll(addresses);
    wanted.addAll(addresses);
    wanted.remove(self().address());
  }

  @Override
  public boolean send(NodeId to, Topic topic, byte[] body) {
    if (to.equals(node)) {
      return sendToSelf(topic, body);
    }
    Packet packet =
        Packet.newBuilder().setTopic(topic.number()).setBody(ByteString.copyFrom(body)).build();
    return links.send(to, Frame.newBuilder().setPacket(packet).build());
  }

  private boolean sendToSelf(Topic topic, byte[] body) {
    EventLoop loop = selfLoop;
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
      links.dispatch(self(), topic.number(), body);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("own message is unreadable", e);
    }
  }

  @Override
  public Collection<Peer> peers() {
    return links.peers();
  }

  private void dialMissing() {
    EventLoopGroup g = group;
    if (g == null) {
      return;
    }
    for (InetSocketAddress address : wanted) {
      if (!links.isConnectedTo(address) && dialing.add(address)) {
        dial(g, address);
      }
    }
  }

  private void dial(EventLoopGroup g, InetSocketAddress address) {
    new Bootstrap()
        .group(g)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, UNSENT_LIMIT)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(pipeline(true))
        .connect(address)
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                LOG.atDebug().addKeyValue("event", "peer.unreachable").log("{}", address);
              }
            })
        .channel()
        .closeFuture()
        .addListener(f -> dialing.remove(address));
  }

  private ChannelInitializer<SocketChannel> pipeline(boolean dialed) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        PeerPipeline.build(ch.pipeline(), links, self(), secret, dialed);
      }
    };
  }
}
