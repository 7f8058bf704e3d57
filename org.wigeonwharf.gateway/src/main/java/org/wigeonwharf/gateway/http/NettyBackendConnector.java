package org.wigeonwharf.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import org.wigeonwharf.gateway.backend.BackendServer;
import org.wigeonwharf.http.HttpAnswers;
import org.wigeonwharf.http.MalformedAnswerException;

/**
 * Sends requests to backend servers, each on a new connection.
 *
 * <p>With connections that are not reused, a request cannot be lost because the server closes an
 * idle connection at that moment, nor receive bytes that belong to an earlier request.
 */
public final class NettyBackendConnector implements BackendConnector {
  /**
   * Connect timeout in ms: several round trips between regions. It is shorter than the second after
   * which TCP would retransmit a lost SYN.
   */
  static final int CONNECT_TIMEOUT_MILLIS = 250;

  private static final String NOT_HTTP = "not HTTP: ";

  private final EventLoop loop;
  private final ChannelFactory<? extends Channel> channels;

  /**
   * Creates a connector.
   *
   * @param loop the event loop of all connections
   */
  public NettyBackendConnector(EventLoop loop) {
    this(loop, NioSocketChannel::new);
  }

  NettyBackendConnector(EventLoop loop, ChannelFactory<? extends Channel> channels) {
    this.loop = loop;
    this.channels = channels;
  }

  @Override
  public Attempt send(BackendServer server, OutboundRequest request, AttemptListener listener) {
    Connection connection = new Connection(request, listener);
    ChannelFuture connect =
        HttpAnswers.configure(new Bootstrap())
            .group(loop)
            .channelFactory(channels)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    HttpAnswers.addHandlers(ch.pipeline(), request.method());
                    ch.pipeline().addLast(connection);
                  }
                })
            .connect(server.address());
    connection.channel = connect.channel();
    connect.addListener(
        f -> {
          if (!f.isSuccess()) {
            // Without a free descriptor the result comes on a thread of the library's own.
            runOn(loop, () -> connection.failConnect(f.cause()));
          }
        });
    return connection;
  }

  private static void runOn(EventLoop loop, Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }

  /** Carries one request and its response. */
  private static final class Connection extends ChannelInboundHandlerAdapter implements Attempt {
    private final OutboundRequest request;
    private final AttemptListener listener;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private Channel channel;
    private boolean ended;
    private boolean headReceived;

    @SuppressWarnings("NullAway.Init") // The channel is set before the first event.
    Connection(OutboundRequest request, AttemptListener listener) {
      this.request = request;
      this.listener = listener;
    }

    @Override
    public void cancel() {
      ended = true;
      reset();
    }

    /**
     * Closes the connection by a reset. After an orderly close the kernel would still transmit what
     * it has buffered, so that a request delayed by a network partition could reach the server long
     * after its caller has left.
     */
    private void reset() {
      if (!channel.isRegistered()) {
        // The channel could not be opened, or is closed already.
        return;
      }
      if (channel.isOpen()) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      }
      channel.close();
    }

    @Override
    public void setPaused(boolean paused) {
      if (channel.isRegistered()) {
        channel.config().setAutoRead(!paused);
      }
    }

    private void failConnect(Throwable cause) {
      if (!ended) {
        ended = true;
        listener.onUnreachable(
            String.valueOf(cause.getMessage()), NettyLivenessCheck.isRefusal(cause));
      }
    }

    private void fail(String reason) {
      passOnReceived();
      if (!ended) {
        ended = true;
        reset();
        listener.onConnectionLost(reason);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (ended) {
        ctx.close();
        return;
      }
      ctx.writeAndFlush(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              request.method(),
              request.target(),
              Unpooled.wrappedBuffer(request.body()),
              request.headers(),
              new DefaultHttpHeaders()));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      try {
        if (!ended && message instanceof HttpObject part) {
          read(part);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void read(HttpObject part) {
      if (part.decoderResult().isFailure()) {
        fail(NOT_HTTP + part.decoderResult().cause().getMessage());
        return;
      }
      if (part instanceof HttpResponse response) {
        headReceived = true;
        listener.onHead(response.status().code(), response.headers());
      }
      if (part instanceof HttpContent content && !ended) {
        readContent(content);
      }
    }

    private void readContent(HttpContent content) {
      byte[] bytes = new byte[content.content().readableBytes()];
      content.content().readBytes(bytes);
      received.writeBytes(bytes);
      if (content instanceof LastHttpContent) {
        passOnReceived();
        if (!ended) {
          ended = true;
          channel.close();
          listener.onComplete();
        }
      }
    }

    /** Passes on the body bytes of one read together, however many pieces they came in. */
    private void passOnReceived() {
      if (!ended && received.size() > 0) {
        byte[] bytes = received.toByteArray();
        received.reset();
        listener.onData(bytes);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      passOnReceived();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        failAtEnd();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      failAtEnd();
    }

    private void failAtEnd() {
      fail(headReceived ? "connection closed within the answer" : "connection closed unanswered");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      String kind = cause instanceof MalformedAnswerException ? NOT_HTTP : "connection broke: ";
      fail(kind + cause.getMessage());
    }
  }
}
