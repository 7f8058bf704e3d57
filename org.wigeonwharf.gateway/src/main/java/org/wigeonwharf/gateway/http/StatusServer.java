package org.wigeonwharf.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.wigeonwharf.http.BoundedReads;

/** Serves status pages of the process as plain text over HTTP. */
public final class StatusServer {
  /** Idle timeout of a connection in seconds; clients poll once a second or less often. */
  private static final int IDLE_TIMEOUT_SECONDS = 30;

  private static final int MAX_REQUEST_BYTES = 8_192;

  private final EventLoop loop;
  private final InetSocketAddress bindAddress;
  private final Map<String, Supplier<Page>> pages;
  private @Nullable Channel serverChannel;

  /**
   * Holds the content of one page.
   *
   * @param ok true for status 200, false for 503
   * @param text the body
   */
  public record Page(boolean ok, String text) {}

  /**
   * Creates a server that is not yet bound.
   *
   * @param loop the event loop of all connections
   * @param bindAddress the address to listen on; port 0 selects a free port
   * @param pages generators of the pages by path
   */
  public StatusServer(
      EventLoop loop, InetSocketAddress bindAddress, Map<String, Supplier<Page>> pages) {
    this.loop = loop;
    this.bindAddress = bindAddress;
    this.pages = Map.copyOf(pages);
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
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, BoundedReads.allocator())
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(
                            new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS),
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new PageHandler());
                  }
                })
            .bind(bindAddress)
            .sync()
            .channel();
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

  /** Stops accepting connections. */
  public void stop() {
    if (serverChannel != null) {
      serverChannel.close();
    }
  }

  private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      Supplier<Page> page = pages.get(request.uri());
      if (page == null) {
        write(ctx, HttpResponseStatus.NOT_FOUND, "no such page\n");
        return;
      }
      Page p = page.get();
      HttpResponseStatus status =
          p.ok() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
      write(ctx, status, p.text());
    }

    private void write(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      var response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
          .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      ctx.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Idle or failed connections need no further handling.
      ctx.close();
    }
  }
}
