package org.wigeonwharf.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * Sets up connections that carry one request and its answer.
 *
 * <p>Whether an answer is whole depends on its framing alone. A request that can't be sent to its
 * end does not end the answer, and a broken connection is no end of an answer without a length.
 */
public final class HttpAnswers {
  private HttpAnswers() {}

  /**
   * Sets the options of the connections.
   *
   * @param bootstrap opens the connections
   * @return the bootstrap
   */
  public static Bootstrap configure(Bootstrap bootstrap) {
    return bootstrap
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RCVBUF_ALLOCATOR, BoundedReads.allocator())
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.AUTO_CLOSE, false);
  }

  /**
   * Adds the handlers that encode the request and decode its answer.
   *
   * <p>A handler behind them is told of a broken connection by {@code exceptionCaught}, and of an
   * orderly end by a {@code ChannelInputShutdownEvent}. It has to close the connection.
   *
   * @param pipeline the pipeline of a new connection
   */
  public static void addHandlers(ChannelPipeline pipeline) {
    pipeline.addLast(new OrderlyEndHandler(), new HttpClientCodec());
  }
}
