package org.wigeonwharf.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.gateway.route.CallerLimits;
import org.wigeonwharf.gateway.route.RouteTable;
import org.wigeonwharf.http.BoundedReads;

/** Accepts callers' connections. */
public final class CallerListener {
  /**
   * Minimum size in bytes of a head that the decoder accepts. The decoder keeps its limit for the
   * life of the connection, while the configured one, which is checked for each request, may rise.
   */
  private static final int MIN_DECODED_HEADER_BYTES = 65_536;

  /**
   * Maximum number of connections queued to be accepted; all callers of a failure domain may
   * connect at once.
   */
  private static final int BACKLOG = 1_024;

  private final EventLoop loop;
  private final InetSocketAddress bindAddress;
  private final ExchangeManager exchanges;
  private final Timers timers;
  private final Set<CallerConnection> connections = new HashSet<>();
  private @Nullable Channel serverChannel;
  private Runnable onClose = () -> {};
  private boolean stopping;

  /**
   * Creates a listener that is not yet bound.
   *
   * @param loop the event loop of all connections
   * @param bindAddress the address to listen on; port 0 selects a free port
   * @param exchanges handles the requests
   * @param timers clock and timers
   */
  public CallerListener(
      EventLoop loop, InetSocketAddress bindAddress, ExchangeManager exchanges, Timers timers) {
    this.loop = loop;
    this.bindAddress = bindAddress;
    this.exchanges = exchanges;
    this.timers = timers;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @throws InterruptedException if the waiting thread is interrupted
   */
  public void start() throws InterruptedException {
    serverChannel =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, BoundedReads.allocator())
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accept(ch);
                  }
                })
            .bind(bindAddress)
            .sync()
            .channel();
  }

  private void accept(SocketChannel channel) {
    CallerConnection connection =
        new CallerConnection(exchanges, this::currentLimits, () -> stopping, timers);
    connections.add(connection);
    channel.closeFuture().addListener(f -> remove(connection));
    int maxHeaderBytes = Math.max(MIN_DECODED_HEADER_BYTES, currentLimits().maxHeaderBytes());
    HttpDecoderConfig decoder =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes);
    channel
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object message) {
                connection.onBytesReceived();
                ctx.fireChannelRead(message);
              }
            },
            new HttpServerCodec(decoder),
            connection);
  }

  private CallerLimits currentLimits() {
    RouteTable routes = exchanges.routes();
    return routes == null ? CallerLimits.DEFAULT : routes.limits();
  }

  private void remove(CallerConnection connection) {
    connections.remove(connection);
    onClose.run();
  }

  /**
   * Sets the action that runs after each connection is closed.
   *
   * @param action the action
   */
  public void onClose(Runnable action) {
    onClose = action;
  }

  /** Returns the number of connections with a response that is pending or not yet fully written. */
  public int pendingResponses() {
    return (int) connections.stream().filter(CallerConnection::hasPendingResponse).count();
  }

  /**
   * Returns the address on which connections are accepted.
   *
   * @return the bound address
   */
  public InetSocketAddress address() {
    Channel s = serverChannel;
    return s == null ? bindAddress : (InetSocketAddress) s.localAddress();
  }

  /** Makes each connection close after its next response. Called on the event loop. */
  public void drain() {
    stopping = true;
  }

  /** Closes connections without a request. Called on the event loop. */
  public void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Ends all requests and closes all connections and the listening socket. Called on the event
   * loop.
   */
  public void stop() {
    if (serverChannel != null) {
      serverChannel.close();
    }
    List.copyOf(connections).forEach(CallerConnection::stopNow);
  }
}
