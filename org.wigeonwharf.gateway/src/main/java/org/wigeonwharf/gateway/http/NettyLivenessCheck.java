package org.wigeonwharf.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.function.Consumer;
import org.wigeonwharf.gateway.backend.BackendServer;

/** Checks backend servers by opening a connection, which is closed at once. */
public final class NettyLivenessCheck implements LivenessCheck {
  private final EventLoop loop;

  /**
   * Creates a check.
   *
   * @param loop the event loop of the connections and callbacks
   */
  public NettyLivenessCheck(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public void check(BackendServer server, Consumer<Result> callback) {
    ChannelFuture connect =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, NettyBackendConnector.CONNECT_TIMEOUT_MILLIS)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(server.address());
    connect.addListener(
        f -> {
          if (f.isSuccess()) {
            connect.channel().close();
            callback.accept(Result.ALIVE);
          } else {
            Result result = isRefusal(f.cause()) ? Result.ENDED : Result.UNKNOWN;
            loop.execute(() -> callback.accept(result));
          }
        });
  }

  static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }
}
