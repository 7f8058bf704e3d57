package org.wigeonwharf.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against answers that are taken for whole because their connection has ended somehow. */
class HttpAnswersTest {
  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\npart";

  private final List<String> events = new ArrayList<>();
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private boolean failWrites;

  /** Records what a client sees, until its answer has ended one way or the other. */
  private final class Recorder extends ChannelInboundHandlerAdapter {
    private boolean ended;

    private void end(String event) {
      if (!ended) {
        events.add(event);
      }
      ended = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof HttpResponse r) {
        events.add(String.valueOf(r.status().code()));
      }
      if (message instanceof HttpContent c && c.content().isReadable()) {
        events.add(c.content().toString(StandardCharsets.US_ASCII));
      }
      if (message instanceof LastHttpContent) {
        end("whole");
      }
      ReferenceCountUtil.release(message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      end("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end("broken");
    }
  }

  private void connect() {
    channel
        .pipeline()
        .addLast(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
                if (failWrites) {
                  promise.setFailure(new IOException("reset"));
                } else {
                  promise.setSuccess();
                }
              }
            });
    HttpAnswers.addHandlers(channel.pipeline(), HttpMethod.GET);
    channel.pipeline().addLast(new Recorder());
    request();
  }

  private void request() {
    channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
  }

  private void receive(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    channel.writeInbound(bytes);
  }

  private void endInput() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
  }

  @Test
  void orderlyEndCompletesAnswerWithoutLength() {
    connect();
    receive(WITHOUT_LENGTH);
    endInput();
    assertEquals(List.of("200", "part", "whole"), events);
  }

  // Guards against the library's decoder, which ends the answer when the channel is closed.
  @Test
  void closeWithoutOrderlyEndBreaksAnswerWithoutLength() {
    connect();
    receive(WITHOUT_LENGTH);
    channel.close();
    assertEquals(List.of("200", "part", "broken"), events);
  }

  // Guards against a read that shows an end because a write was told of the reset.
  @Test
  void endAfterFailedWriteBreaksAnswerWithoutLength() {
    connect();
    receive(WITHOUT_LENGTH);
    failWrites = true;
    request();
    endInput();
    assertEquals(List.of("200", "part", "broken"), events);
  }

  // Guards against the event of an end that the library sends after a read that failed.
  @Test
  void endAfterFailedReadBreaksAnswerWithoutLength() {
    connect();
    receive(WITHOUT_LENGTH);
    channel.pipeline().fireExceptionCaught(new IOException("reset"));
    endInput();
    assertEquals(List.of("200", "part", "broken"), events);
  }

  @Test
  void failedWriteDoesNotEndAnswerWithLength() {
    connect();
    failWrites = true;
    request();
    receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    assertEquals(List.of("200", "body", "whole"), events);
  }
}
