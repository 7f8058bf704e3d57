package org.wigeonwharf.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Sets up connections that carry one request and its answer.
 *
 * <p>An answer is what HTTP allows and nothing else: anything that two readers could understand
 * differently ends it. Whether it is whole depends on its framing alone. A request that can't be
 * sent to its end does not end the answer, and a broken connection is no end of an answer without a
 * length.
 */
public final class HttpAnswers {
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  private HttpAnswers() {}

  /**
   * Tells whether a status is that of a final answer.
   *
   * @param status the status, of three digits or any other number
   */
  public static boolean isFinalStatus(int status) {
    return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  }

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
   * <p>A handler behind them is told of a broken connection and, with a {@link
   * MalformedAnswerException}, of bytes that are no answer by {@code exceptionCaught}, and of an
   * orderly end by a {@code ChannelInputShutdownEvent}. It has to close the connection. It gets no
   * interim answers.
   *
   * @param pipeline the pipeline of a new connection
   * @param method the request's method
   */
  public static void addHandlers(ChannelPipeline pipeline, HttpMethod method) {
    pipeline.addLast(new OrderlyEndHandler(), new AnswerValidator(method), new HttpClientCodec());
  }
}
